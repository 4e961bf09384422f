package simwire

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"strconv"

	"damsonscale/decide"
)

// maxPreallocated is the maximum number of endpoints for which memory is allocated before they are read.
const maxPreallocated = 4096

// endpoints reads an endpoint list and its rows into a slot.
func (a *adapter) endpoints(rest []byte) error {
	slot, entries, ok := bytes.Cut(rest, []byte{fieldSeparator})
	n, err := parseInt(slot)
	if !ok || err != nil || n < 0 || n >= int64(len(a.lists)) {
		return fmt.Errorf("expected a slot from 0 to 15 and a count, got %q", clip(rest))
	}
	count, err := parseInt(entries)
	if err != nil || count < 0 {
		return fmt.Errorf("expected a count of entries, got %q", clip(entries))
	}
	list := make([]decide.Endpoint, 0, min(count, maxPreallocated))
	for range count {
		line, err := a.nextLine()
		if err == io.EOF {
			return errTruncated
		}
		if err != nil {
			return err
		}
		endpoint, err := a.endpoint(line)
		if err != nil {
			return fmt.Errorf(wordEndpoint+": %w", err)
		}
		list = append(list, endpoint)
	}
	a.lists[n], a.listFilled[n] = list, true
	return nil
}

// endpoint parses a row of an endpoint list.
func (a *adapter) endpoint(line []byte) (s decide.Endpoint, err error) {
	f := a.split(line, 8)
	if len(f) != 8 || string(f[0]) != wordEndpoint {
		return s, fmt.Errorf("expected "+wordEndpoint+" with 7 fields, got %q", clip(line))
	}
	if s.StartedAt, err = parseIntOr(f[1], 0); err != nil {
		return s, err
	}
	s.Capacity = 1
	if !absent(f[2]) {
		s.Capacity, err = strconv.ParseFloat(string(f[2]), 64)
		if err != nil || math.IsNaN(s.Capacity) || math.IsInf(s.Capacity, 0) {
			return s, fmt.Errorf("expected a capacity, got %q", clip(f[2]))
		}
	}
	if s.Cell, err = parseIntOr(f[4], -1); err != nil {
		return s, err
	}
	switch string(f[5]) {
	case phaseInService:
		s.Phase = decide.InService
	case phaseDraining:
		s.Phase = decide.Draining
	case phaseRemoved:
		s.Phase = decide.Removed
	default:
		return s, fmt.Errorf("expected in_service, terminating or terminated, got %q", clip(f[5]))
	}
	if s.ID, err = a.address(f[6]); err != nil {
		return s, err
	}
	if !absent(f[3]) {
		s.MachineKind = string(f[3])
	}
	if !absent(f[7]) {
		s.Zone = string(f[7])
	}
	return s, nil
}
