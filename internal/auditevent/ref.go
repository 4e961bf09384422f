package auditevent

import (
	"fmt"
	"strconv"
	"strings"

	"damsonscale/internal/takeover"
)

// RefHeader is the HTTP header in which a member sends a Ref to a server or a client.
const RefHeader = "Req-Actor"

// refFields is the number of fields after the member's name in the text form of a Ref.
const refFields = 5

// Ref identifies an event, with the configuration version that the event was decided under.
type Ref struct {
	Member  takeover.Member
	Number  uint64
	Version ConfigVersion
}

// Append appends the text form of the reference to b: member name, incarnation (hex), event number, settings number, settings digest (hex)
// and endpoint list number, separated by slashes.
func (r *Ref) Append(b []byte) []byte {
	b = append(append(b, r.Member.Name...), '/')
	b = append(strconv.AppendUint(b, r.Member.Incarnation, 16), '/')
	b = append(strconv.AppendUint(b, r.Number, 10), '/')
	b = append(strconv.AppendUint(b, r.Version.Settings, 10), '/')
	b = append(strconv.AppendUint(b, r.Version.Digest, 16), '/')
	return strconv.AppendInt(b, r.Version.ListSeq, 10)
}

// ParseRef parses the text form that Append writes. The member name may contain slashes.
func ParseRef(text string) (r Ref, err error) {
	fields := strings.Split(text, "/")
	if len(fields) < refFields+1 {
		return r, fmt.Errorf("%s: expected at least 6 fields separated by slashes, got %q", RefHeader, text)
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
