package inbound

// AnswerPartBytes is the size of the parts in which a long answer is written, so that a caller who reads slowly makes progress.
const AnswerPartBytes = 64 << 10

// WriteParts calls write with each part of a body, and once with an empty one if there is none. It records the progress of the
// caller after each.
func (c *Conn) WriteParts(body []byte, write func(part []byte) error) error {
	for {
		size := min(len(body), AnswerPartBytes)
		if err := write(body[:size]); err != nil {
			return err
		}
		c.Progress()
		if body = body[size:]; len(body) == 0 {
			return nil
		}
	}
}
