package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"damsonscale/decide"
)

const (
	maxQuoted = 60 // maximum number of bytes of a field that an error quotes
	maxDigits = 18 // maximum number of digits of a whole number, so that the number fits into 64 bits
)

// absent returns whether a field is absent.
func absent(b []byte) bool { return len(b) == 1 && b[0] == wordAbsent }

// clip shortens a field for an error message.
func clip(b []byte) []byte { return b[:min(len(b), maxQuoted)] }

func appendInt(b []byte, n int64) []byte { return strconv.AppendInt(b, n, 10) }

// parseInt parses a whole number.
func parseInt(b []byte) (int64, error) {
	n, i, neg := int64(0), 0, false
	if len(b) > 0 && b[0] == '-' {
		neg, i = true, 1
	}
	if i == len(b) || len(b)-i > maxDigits {
		return 0, fmt.Errorf("expected a whole number, got %q", clip(b))
	}
	for ; i < len(b); i++ {
		if b[i] < '0' || b[i] > '9' {
			return 0, fmt.Errorf("expected a whole number, got %q", clip(b))
		}
		n = n*10 + int64(b[i]-'0')
	}
	if neg {
		n = -n
	}
	return n, nil
}

// parseIntOr parses a whole number, or returns ifAbsent if the field is absent.
func parseIntOr(b []byte, ifAbsent int64) (int64, error) {
	if absent(b) {
		return ifAbsent, nil
	}
	return parseInt(b)
}

// parseIndex parses a whole number from 0 to math.MaxInt32. expected describes the number in the error.
func parseIndex(b []byte, expected string) (int, error) {
	n, err := parseInt(b)
	if err != nil || n < 0 || n > math.MaxInt32 {
		return 0, fmt.Errorf("expected %s, got %q", expected, clip(b))
	}
	return int(n), nil
}

// parseResult parses an outcome letter.
func parseResult(b []byte) (decide.Result, error) {
	if len(b) == 0 {
		return 0, errors.New("expected an outcome letter, got nothing")
	}
	if i := bytes.IndexByte([]byte(resultLetters), b[0]); len(b) == 1 && i >= 0 {
		return decide.Result(i), nil
	}
	return 0, fmt.Errorf("expected an outcome letter, got %q", clip(b))
}

// parseLoadReport parses a load report and ignores unknown fields of it. It returns nil if the load report is absent.
func parseLoadReport(b []byte) (*decide.LoadReport, error) {
	if absent(b) || len(b) == 0 {
		return nil, nil
	}
	l := &decide.LoadReport{InFlight: -1, QueueLength: -1, Utilization: -1, ServiceTimeMs: -1, RequestRate: -1, ErrorRate: -1}
	for pair := range bytes.SplitSeq(b, []byte{','}) {
		name, value, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			return nil, fmt.Errorf("load report: expected name:value, got %q", clip(pair))
		}
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			return nil, fmt.Errorf("load report: expected a number for %s, got %q", clip(name), clip(value))
		}
		switch string(name) {
		case loadInFlight:
			l.InFlight = v
		case loadQueue:
			l.QueueLength = v
		case loadBusy:
			l.Utilization = v
		case loadLatency:
			l.ServiceTimeMs = v
		case loadRate:
			l.RequestRate = v
		case loadFailRate:
			l.ErrorRate = v
		}
	}
	return l, nil
}
