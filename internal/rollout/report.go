package rollout

import "time"

// Report is a member's report on its settings, sent with each lease request. It is encoded as a CBOR array: the order and types of its
// fields must not change.
type Report struct {
	_               struct{}      `cbor:",toarray"`
	ActiveVersion   uint64        `json:"Acts"`    // number of the version in use
	RejectedVersion uint64        `json:"Refused"` // number of the version that the member failed to adopt; 0 for none
	RejectReason    string        `json:"Why"`     // error of the rejected version
	Digest          uint64        `json:"Digest"`  // digest of the settings in use
	Build           string        `json:"Build"`   // build of the program
	Current         ServiceCounts `json:"Now"`     // counts since the member adopted the settings in use
	Previous        ServiceCounts `json:"Before"`  // counts under the settings that the member used before
}

// ServiceCounts counts answered requests.
type ServiceCounts struct {
	_        struct{} `cbor:",toarray"`
	Answered uint64   `json:"Ended"`  // number of requests answered with a server's response or with an error of this member
	Served   uint64   `json:"Served"` // number of requests answered with a server's response
}

// add adds the counts of o to s.
func (s *ServiceCounts) add(o ServiceCounts) {
	s.Answered += o.Answered
	s.Served += o.Served
}

// servedShare returns the share of answers that were a server's response, from 0 to 1.
func (s ServiceCounts) servedShare() float64 { return float64(s.Served) / float64(max(1, s.Answered)) }

// ReceivedReport is a report with its time of receipt by the leader's clock.
type ReceivedReport struct {
	Report
	ReceivedAt time.Time
}

// fresh reports whether the report is recent enough to be used.
func (r ReceivedReport) fresh(now time.Time) bool { return now.Sub(r.ReceivedAt) <= maxReportAge }
