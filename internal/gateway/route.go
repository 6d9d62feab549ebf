package gateway

// Route returns the service that the value of Basillink-Service and the URI of a request select, and the URI that
// a target sees. An empty header selects by the first path segment.
func Route(serviceHeader, uri string) (service, targetURI string) {
	return splitService(serviceHeader, uri)
}
