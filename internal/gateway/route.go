package gateway

// Route returns the service selected by the value of Basillink-Service and the URI of a request, and the URI that is sent
// to the target. If the header is empty, the first path segment selects the service.
func Route(serviceHeader, uri string) (service, targetURI string) {
	return splitService(serviceHeader, uri)
}
