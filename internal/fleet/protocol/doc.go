// Package protocol defines the parts of the protocol between a fleet's members that all packages share: the kinds of frames, the
// encoding of payloads, and the identifier of a fleet.
package protocol
