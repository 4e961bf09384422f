// Package protocol has what all parts of a fleet's members agree on: the kinds of frames that they send to each other, the
// encoding of payloads, and the number that tells fleets apart.
package protocol
