package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/basillink/basillink/internal/logservice"
)

// Digest returns a hexadecimal digest of Services, Removed and Forgotten, or "" if one of them cannot be encoded. It does
// not depend on Through. The hashed bytes are those that encoding/json writes for a struct of the three fields. They must
// not change, because instances of earlier versions compute the digest from the same bytes. The JSON of each entry is
// cached, because encoding all entries took more than four fifths of the time.
func (s *State) Digest() string {
	sum := sha256.New()
	separator := `{"Services":{`
	var prefix []byte
	for _, name := range s.ServiceNames() {
		key, keyErr := json.Marshal(name)
		entry, entryErr := s.Services[name].encode()
		if keyErr != nil || entryErr != nil {
			return ""
		}
		prefix = append(append(append(prefix[:0], separator...), key...), ':')
		sum.Write(prefix)
		sum.Write(entry)
		separator = ","
	}
	tail, err := json.Marshal(struct {
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
	sum.Write(tail[1:])
	return hex.EncodeToString(sum.Sum(nil)[:16])
}
