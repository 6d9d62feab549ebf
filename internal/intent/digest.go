package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/basillink/basillink/internal/logservice"
)

// Digest identifies the services and their revisions independently of Through. It hashes the JSON of the three fields
// as encoding/json writes it. Instances of earlier versions compute the same digest, so the bytes must not change; only
// the encoding of each entry is kept, because encoding all of them took more than four fifths of the time.
func (s *State) Digest() string {
	sum := sha256.New()
	separator := `{"Services":{`
	var head []byte
	for _, name := range s.ServiceNames() {
		key, keyErr := json.Marshal(name)
		entry, entryErr := s.Services[name].encode()
		if keyErr != nil || entryErr != nil {
			return ""
		}
		head = append(append(append(head[:0], separator...), key...), ':')
		sum.Write(head)
		sum.Write(entry)
		separator = ","
	}
	rest, err := json.Marshal(struct {
		Removed   map[string]logservice.Offset
		Forgotten logservice.Offset
	}{s.Removed, s.Forgotten})
	if err != nil {
		return ""
	}
	if len(s.Services) == 0 {
		sum.Write([]byte(separator))
	}
	sum.Write([]byte("},"))
	sum.Write(rest[1:])
	return hex.EncodeToString(sum.Sum(nil)[:16])
}
