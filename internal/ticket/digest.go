package ticket

import "github.com/basillink/basillink/internal/digest"

// Digest identifies the content of a request. A ticket is bound to the digest of the first request that uses it.
type Digest = digest.Sum
