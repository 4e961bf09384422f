package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"damsonscale/decide"
)

// info is the settings object as the wire has it; unknown keys are skipped.
type info struct {
	Balancers, Me  int
	Zone           string
	RegistryMode   string
	WeightSource   string
	OverShareWorth float64
	TickUs         int64
	Services       []struct {
		Name, Semantics, Group       string
		AimUs, DeadlineUs, WindowUs  int64
		AimStretch, LateShare, Worth float64
		Stream                       bool
	}
	Realms []struct {
		Name          string
		AllowancePerS float64
	}
	Limits struct {
		Cancel, ParallelTries, Probes, RetryAfter bool
		Peers                                     bool
		MaxAttempts                               int
		MaxRetryAfterUs                           int64
		ConnIdleUs, DialTimeoutUs, CpuUsPerS      int64
		HeldReplies                               int
	}
	Report     struct{ Via string }
	ScoringMix scoringMix
	Prices     struct{ CrossZone, Connection, Probe float64 }
	FamilyInfo struct{ WarmKeys bool }
	Guarantees struct {
		AnswerSlackUs, AskEveryUs, ColdUs, FallUs, StopSendingWithinUs int64
		ColdFrom, OverloadFactor                                       float64
		ExtraFloor                                                     float64
		ResendRatio                                                    *float64
		ResendSpanUs                                                   *int64
	}
}

// scoringMix is how the service is judged, under the names of the settings.
type scoringMix struct{ Whole, WorstWindow, WorstClass, WorstTenant, Tail, BorneMisses float64 }

func (m scoringMix) objective() decide.ServiceObjective {
	return decide.ServiceObjective{
		Overall: m.Whole, WorstWindow: m.WorstWindow, WorstClass: m.WorstClass, WorstTenant: m.WorstTenant, TailLatency: m.Tail,
		ToleratedLateShare: m.BorneMisses,
	}
}

// What the list's weights tell, and how load reports come; absent: nothing, and none.
var (
	weightKinds = []string{"", "silent", "nominal", "rough", "live"}
	reportKinds = []string{"", "silent", "pull", "piggyback"}
)

var semantics = map[string]decide.Semantics{
	"idempotent": decide.Idempotent, "deduplicated": decide.IdempotencyKeyed, "at_most_once": decide.AtMostOnce,
}

var scopes = map[string]decide.Scope{
	"": decide.ScopeAll, "all": decide.ScopeAll, "zone": decide.ScopeZone, "cell": decide.ScopeCell,
}

// Transport is what the settings say of connections; the decisions do not need it.
type Transport struct {
	ConnIdle    time.Duration // servers close a connection idle for this long
	DialTimeout time.Duration // a connection that is not up by then counts as refused
	ProbeLoad   bool          // load reports come with probes
}

const (
	defaultConnIdle    = 10 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
)

// ParseSettings reads the settings and refuses those that make no sense.
func ParseSettings(text []byte) (decide.Settings, error) {
	set, _, err := parseSettings(text)
	return set, err
}

func parseSettings(text []byte) (set decide.Settings, tr Transport, err error) {
	var in info
	if err := json.Unmarshal(text, &in); err != nil {
		return set, tr, fmt.Errorf("settings are not the JSON expected: %w", err)
	}
	if tr, err = in.transport(); err != nil {
		return set, tr, err
	}
	set, err = in.decisions()
	return set, tr, err
}

// transport takes out what connections need, with defaults for absent figures.
func (in *info) transport() (Transport, error) {
	tr := Transport{ConnIdle: defaultConnIdle, DialTimeout: defaultDialTimeout, ProbeLoad: in.Report.Via == "pull"}
	l := in.Limits
	if l.ConnIdleUs < 0 || l.DialTimeoutUs < 0 {
		return tr, fmt.Errorf("settings: Limits.ConnIdleUs and Limits.DialTimeoutUs must not be negative")
	}
	if l.ConnIdleUs > 0 {
		tr.ConnIdle = time.Duration(l.ConnIdleUs) * time.Microsecond
	}
	if l.DialTimeoutUs > 0 {
		tr.DialTimeout = time.Duration(l.DialTimeoutUs) * time.Microsecond
	}
	return tr, nil
}

// decisions takes out what the decisions need.
func (in *info) decisions() (set decide.Settings, err error) {
	if !slices.Contains(weightKinds, in.WeightSource) {
		return set, fmt.Errorf("settings: WeightSource: unknown kind %q", in.WeightSource)
	}
	if !slices.Contains(reportKinds, in.Report.Via) {
		return set, fmt.Errorf("settings: Report.Via: unknown kind %q", in.Report.Via)
	}
	set = decide.Settings{
		Zone: in.Zone, BalancerIndex: in.Me, BalancerCount: in.Balancers,
		EndpointsPushed: in.RegistryMode == "pushed", OverQuotaWeight: in.OverShareWorth,
		CrossZonePrice: in.Prices.CrossZone, ConnectionPrice: in.Prices.Connection,
		LoadFromHealthChecks: in.Report.Via == "pull", HealthCheckPrice: in.Prices.Probe,
		CapacityListed: in.WeightSource == "nominal" || in.WeightSource == "rough" || in.WeightSource == "live",
		CapacityLive:   in.WeightSource == "live",
		KeyAffinity:    in.FamilyInfo.WarmKeys, Objective: in.ScoringMix.objective(),
		Limits: decide.Limits{
			Cancel: in.Limits.Cancel, Hedging: in.Limits.ParallelTries, HealthChecks: in.Limits.Probes,
			RetryAfter: in.Limits.RetryAfter, Gossip: in.Limits.Peers, MaxAttempts: in.Limits.MaxAttempts, MaxBufferedResponses: in.Limits.HeldReplies,
			MaxRetryAfter: in.Limits.MaxRetryAfterUs, MinEventInterval: in.TickUs, CPU: in.Limits.CpuUsPerS,
		},
		Rules: decide.Rules{
			AnswerSlack: in.Guarantees.AnswerSlackUs, PollInterval: in.Guarantees.AskEveryUs,
			DrainGrace: in.Guarantees.StopSendingWithinUs, SlowStartMinShare: in.Guarantees.ColdFrom,
			SlowStartWindow: in.Guarantees.ColdUs, OverloadFactor: in.Guarantees.OverloadFactor,
			OverloadWindow: in.Guarantees.FallUs, AttemptBudgetMin: in.Guarantees.ExtraFloor,
		},
	}
	g := &in.Guarantees
	if (g.ResendRatio == nil) != (g.ResendSpanUs == nil) {
		return set, fmt.Errorf("settings: Guarantees.ResendRatio and Guarantees.ResendSpanUs need each other")
	}
	if g.ResendRatio != nil {
		set.Rules.AttemptBudgetRatio, set.Rules.AttemptBudgetWindow = *g.ResendRatio, *g.ResendSpanUs
	}
	for _, s := range in.Services {
		kind, ok := semantics[s.Semantics]
		if !ok {
			return set, fmt.Errorf("settings: class %s: unknown semantics %q", s.Name, s.Semantics)
		}
		group, ok := scopes[s.Group]
		if !ok {
			return set, fmt.Errorf("settings: class %s: unknown group %q", s.Name, s.Group)
		}
		set.Classes = append(set.Classes, decide.Class{
			Name: s.Name, LatencyObjective: s.AimUs, Deadline: s.DeadlineUs, ObjectivePerWork: s.AimStretch, PriorityWeight: s.Worth,
			LateValueShare: s.LateShare, Semantics: kind, DedupScope: group, DedupWindow: s.WindowUs, Stream: s.Stream,
		})
	}
	for _, t := range in.Realms {
		set.Tenants = append(set.Tenants, decide.Tenant{Name: t.Name, Allowance: t.AllowancePerS})
	}
	return set, set.Validate()
}
