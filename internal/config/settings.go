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
	ScoringMix decide.Goal
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

// What the list's weights tell, and how load reports come; absent: nothing, and none.
var (
	weightKinds = []string{"", "silent", "nominal", "rough", "live"}
	reportKinds = []string{"", "silent", "pull", "piggyback"}
)

var semantics = map[string]decide.Semantics{
	"idempotent": decide.Idempotent, "deduplicated": decide.Deduplicated, "at_most_once": decide.AtMostOnce,
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
		Zone: in.Zone, Me: in.Me, Balancers: in.Balancers,
		ListPushed: in.RegistryMode == "pushed", OverShareWorth: in.OverShareWorth,
		ZonePrice: in.Prices.CrossZone, ConnPrice: in.Prices.Connection,
		ProbeLoad: in.Report.Via == "pull", ProbePrice: in.Prices.Probe,
		SizesListed: in.WeightSource == "nominal" || in.WeightSource == "rough" || in.WeightSource == "live",
		SizesLive:   in.WeightSource == "live",
		WarmKeys:    in.FamilyInfo.WarmKeys, Goal: in.ScoringMix,
		Limits: decide.Limits{
			Cancel: in.Limits.Cancel, ParallelTries: in.Limits.ParallelTries, Probes: in.Limits.Probes,
			RetryAfter: in.Limits.RetryAfter, Peers: in.Limits.Peers, MaxAttempts: in.Limits.MaxAttempts, HeldReplies: in.Limits.HeldReplies,
			MaxRetryAfter: in.Limits.MaxRetryAfterUs, Tick: in.TickUs, CPU: in.Limits.CpuUsPerS,
		},
		Rules: decide.Rules{
			AnswerSlack: in.Guarantees.AnswerSlackUs, AskEvery: in.Guarantees.AskEveryUs,
			StopSending: in.Guarantees.StopSendingWithinUs, ColdFrom: in.Guarantees.ColdFrom,
			ColdFor: in.Guarantees.ColdUs, OverloadFactor: in.Guarantees.OverloadFactor,
			FallFor: in.Guarantees.FallUs, ExtraFloor: in.Guarantees.ExtraFloor,
		},
	}
	g := &in.Guarantees
	if (g.ResendRatio == nil) != (g.ResendSpanUs == nil) {
		return set, fmt.Errorf("settings: Guarantees.ResendRatio and Guarantees.ResendSpanUs need each other")
	}
	if g.ResendRatio != nil {
		set.Rules.ResendRatio, set.Rules.ResendSpan = *g.ResendRatio, *g.ResendSpanUs
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
			Name: s.Name, Aim: s.AimUs, Deadline: s.DeadlineUs, AimStretch: s.AimStretch, Worth: s.Worth,
			LateShare: s.LateShare, Semantics: kind, Group: group, Window: s.WindowUs, Stream: s.Stream,
		})
	}
	for _, t := range in.Realms {
		set.Tenants = append(set.Tenants, decide.Tenant{Name: t.Name, Allowance: t.AllowancePerS})
	}
	return set, set.Validate()
}
