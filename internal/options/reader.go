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

// describeDecodeError makes one line of each fault that the TOML library found: line, key, reason.
func describeDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var all []error
		for i := range strict.Errors {
			e := &strict.Errors[i]
			line, _ := e.Position()
			all = append(all, fmt.Errorf("line %d: %s: unknown key", line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		if key := strings.Join(wrong.Key(), "."); key != "" {
			return fmt.Errorf("line %d: %s: %w", line, key, err)
		}
		return fmt.Errorf("line %d: %w", line, err)
	}
	return err
}

// valueReader takes values from the file and collects faults.
type valueReader struct {
	lines  map[string]int
	faults []error
}

// fail records a fault of a key, with its line where the file has the key.
func (r *valueReader) fail(key, format string, args ...any) {
	why := fmt.Sprintf(format, args...)
	if line := r.lines[key]; line > 0 {
		r.faults = append(r.faults, fmt.Errorf("line %d: %s: %s", line, key, why))
		return
	}
	r.faults = append(r.faults, fmt.Errorf("%s: %s", key, why))
}

// number returns a whole number within a range, or its default where the file has none.
func (r *valueReader) number(key string, v *int64, byDefault, lowest, highest int64) int64 {
	if v == nil {
		return byDefault
	}
	if *v < lowest || *v > highest {
		r.fail(key, "%d is not within %d to %d", *v, lowest, highest)
	}
	return *v
}

// share returns a number from 0 to 1, or its default where the file has none.
func (r *valueReader) share(key string, v *float64, byDefault float64) float64 {
	if v == nil {
		return byDefault
	}
	if !(*v >= 0 && *v <= 1) {
		r.fail(key, "%v is not within 0 to 1", *v)
	}
	return *v
}

// ms returns a number of milliseconds as a duration.
func (r *valueReader) ms(key string, v *int64, byDefault, lowest, highest int64) time.Duration {
	return time.Duration(r.number(key, v, byDefault, lowest, highest)) * time.Millisecond
}

// lineNumbers returns the line of each key, in a text that is known to parse.
func lineNumbers(text []byte) map[string]int {
	lines := map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		at := -1
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if at < 0 {
				at = int(n.Raw.Offset)
			}
			parts = append(parts, string(n.Data))
		}
		key := strings.Join(parts, ".")
		if e.Kind == unstable.Table || e.Kind == unstable.ArrayTable {
			table = key
		} else if table != "" {
			key = table + "." + key
		}
		if at >= 0 && lines[key] == 0 {
			lines[key] = 1 + bytes.Count(text[:at], []byte{'\n'})
		}
	}
	return lines
}
