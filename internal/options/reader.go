package options

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// describeDecodeError formats each fault that the TOML library found as one line of text: line, key, reason.
func describeDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var faults []error
		for i := range strict.Errors {
			e := &strict.Errors[i]
			line, _ := e.Position()
			faults = append(faults, fmt.Errorf("line %d: %s: unknown key", line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(faults...)
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		if key := strings.Join(decodeError.Key(), "."); key != "" {
			return fmt.Errorf("line %d: %s: %w", line, key, err)
		}
		return fmt.Errorf("line %d: %w", line, err)
	}
	return err
}

// valueReader checks values of the file and collects faults.
type valueReader struct {
	lines  map[string]int // line number by key
	faults []error
}

// fail records a fault of a key, with its line if the file has the key.
func (r *valueReader) fail(key, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	if line := r.lines[key]; line > 0 {
		r.faults = append(r.faults, fmt.Errorf("line %d: %s: %s", line, key, reason))
		return
	}
	r.faults = append(r.faults, fmt.Errorf("%s: %s", key, reason))
}

// number returns an integer, or its default if the file does not have the key. A value outside the range is a fault.
func (r *valueReader) number(key string, v *int64, defaultValue, minimum, maximum int64) int64 {
	if v == nil {
		return defaultValue
	}
	if *v < minimum || *v > maximum {
		r.fail(key, "%d is not within %d to %d", *v, minimum, maximum)
	}
	return *v
}

// share returns a number from 0 to 1, or its default if the file does not have the key.
func (r *valueReader) share(key string, v *float64, defaultValue float64) float64 {
	if v == nil {
		return defaultValue
	}
	if !(*v >= 0 && *v <= 1) {
		r.fail(key, "%v is not within 0 to 1", *v)
	}
	return *v
}

// ms returns a duration that the file states in milliseconds. Default and range are in milliseconds.
func (r *valueReader) ms(key string, v *int64, defaultValue, minimum, maximum int64) time.Duration {
	return time.Duration(r.number(key, v, defaultValue, minimum, maximum)) * time.Millisecond
}

// lineNumbers returns the line of each key in valid TOML text.
func lineNumbers(text []byte) map[string]int {
	lines := map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		offset := -1
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if offset < 0 {
				offset = int(n.Raw.Offset)
			}
			parts = append(parts, string(n.Data))
		}
		key := strings.Join(parts, ".")
		if e.Kind == unstable.Table || e.Kind == unstable.ArrayTable {
			table = key
		} else if table != "" {
			key = table + "." + key
		}
		if offset >= 0 && lines[key] == 0 {
			lines[key] = 1 + bytes.Count(text[:offset], []byte{'\n'})
		}
	}
	return lines
}
