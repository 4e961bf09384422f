package rollout

import "time"

// Report is what a member says of itself with each lease request. It is sent: order and types of its fields stay.
type Report struct {
	_               struct{}      `cbor:",toarray"`
	ActiveVersion   uint64        `json:"Acts"`    // number of the settings that it acts on
	RejectedVersion uint64        `json:"Refused"` // number of those that it could not adopt; 0: none
	RejectReason    string        `json:"Why"`
	Digest          uint64        `json:"Digest"` // of the settings that it acts on
	Build           string        `json:"Build"`
	Current         ServiceCounts `json:"Now"`    // since it adopted the settings that it acts on
	Previous        ServiceCounts `json:"Before"` // under the settings that it acted on before
}

// ServiceCounts counts requests.
type ServiceCounts struct {
	_        struct{} `cbor:",toarray"`
	Answered uint64   `json:"Ended"`
	Served   uint64   `json:"Served"` // of these, with a server's answer
}

// add adds other counts.
func (s *ServiceCounts) add(o ServiceCounts) {
	s.Answered += o.Answered
	s.Served += o.Served
}

// servedShare returns the share of answers that a server gave, 0 to 1.
func (s ServiceCounts) servedShare() float64 { return float64(s.Served) / float64(max(1, s.Answered)) }

// ReceivedReport is a report with the time at which the leader received it, by the leader's clock.
type ReceivedReport struct {
	Report
	ReceivedAt time.Time
}

// fresh reports whether the report still says something about its member.
func (r ReceivedReport) fresh(now time.Time) bool { return now.Sub(r.ReceivedAt) <= maxReportAge }
