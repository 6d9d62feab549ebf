package credit

// Ask requests credits of one limit from the owner. It is encoded in datagrams.
type Ask struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the ask among those of its sender.
	Number uint32
	Key    Key
	Limit  Limit
	// Count is the number of credits that are wanted.
	Count uint16
}

// Answer is the owner's answer to an Ask. It is encoded in datagrams.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Number uint32
	// Granted is the number of credits that the sender of the ask may spend. It may be less than was asked for.
	Granted uint16
	// RetryAfterMS is the time after which a further credit is expected if Granted is less than what was asked for.
	RetryAfterMS uint32
	// NotOwner is true if the sender of the answer holds no valid lease. It then granted nothing.
	NotOwner bool
}

// Refund gives back credits of an answered Ask. It is encoded in datagrams.
type Refund struct {
	_ struct{} `cbor:",toarray"`
	// Number is that of the Ask.
	Number uint32
	Key    Key
	Count  uint16
}
