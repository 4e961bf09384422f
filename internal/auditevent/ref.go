package auditevent

import (
	"fmt"
	"strconv"
	"strings"

	"damsonscale/internal/takeover"
)

// RefHeader is the HTTP header that carries a Ref from a member to a server or a client.
const RefHeader = "Req-Actor"

// refFields is how many fields follow the member's name in a Ref's text.
const refFields = 5

// Ref refers to an event.
type Ref struct {
	Member  takeover.Member
	Number  uint64
	Version ConfigVersion
}

// Append appends the reference as text: name, incarnation (hex), event, settings, digest (hex) and endpoint list, separated by slashes.
func (r *Ref) Append(b []byte) []byte {
	b = append(append(b, r.Member.Name...), '/')
	b = append(strconv.AppendUint(b, r.Member.Incarnation, 16), '/')
	b = append(strconv.AppendUint(b, r.Number, 10), '/')
	b = append(strconv.AppendUint(b, r.Version.Settings, 10), '/')
	b = append(strconv.AppendUint(b, r.Version.Digest, 16), '/')
	return strconv.AppendInt(b, r.Version.ListSeq, 10)
}

// ParseRef reads what Append wrote. The name may contain slashes.
func ParseRef(text string) (r Ref, err error) {
	fields := strings.Split(text, "/")
	if len(fields) < refFields+1 {
		return r, fmt.Errorf("%s: expected six fields, got %q", RefHeader, text)
	}
	name, numbers := strings.Join(fields[:len(fields)-refFields], "/"), fields[len(fields)-refFields:]
	var errs [refFields]error
	r.Member.Name = name
	r.Member.Incarnation, errs[0] = strconv.ParseUint(numbers[0], 16, 64)
	r.Number, errs[1] = strconv.ParseUint(numbers[1], 10, 64)
	r.Version.Settings, errs[2] = strconv.ParseUint(numbers[2], 10, 64)
	r.Version.Digest, errs[3] = strconv.ParseUint(numbers[3], 16, 64)
	r.Version.ListSeq, errs[4] = strconv.ParseInt(numbers[4], 10, 64)
	for _, err := range errs {
		if err != nil {
			return r, fmt.Errorf("%s: %w", RefHeader, err)
		}
	}
	return r, nil
}
