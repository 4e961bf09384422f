package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"damsonscale/decide"
)

// settingsJSON is the settings object under its keys. Each key is mapped here, once, to the term that the code uses; the
// comments give unit and default. Keys match without regard to case. An absent number is 0, which means "none" or "no such
// limit" unless a comment says otherwise. Parse skips unknown keys; WithFleetSettings refuses them.
type settingsJSON struct {
	BalancerCount   int             `json:"Balancers"`      // balancers of the service
	BalancerIndex   int             `json:"Me"`             // this one's index among them
	Zone            string          `json:"Zone"`           // of this balancer; empty: not stated
	RegistryMode    string          `json:"RegistryMode"`   // "pushed": the endpoint list comes from an agent; else: it is polled
	CapacitySource  string          `json:"WeightSource"`   // what the list's capacities mean: one of capacitySources
	OverQuotaWeight float64         `json:"OverShareWorth"` // factor on the priority weight of what a tenant sends over its quota
	MinEventMicros  int64           `json:"TickUs"`         // least time between two events, µs
	Classes         []classJSON     `json:"Services"`       // at least one
	Tenants         []tenantJSON    `json:"Realms"`
	Limits          limitsJSON      `json:"Limits"` // what the deployment permits
	LoadReports     loadReportsJSON `json:"Report"`
	Objective       objectiveJSON   `json:"ScoringMix"` // how the service is judged
	Prices          pricesJSON      `json:"Prices"`
	Keys            keysJSON        `json:"FamilyInfo"`
	Guarantees      guaranteesJSON  `json:"Guarantees"` // what the service promises, and what servers need
}

// classJSON is one class of requests.
type classJSON struct {
	Name              string  `json:"Name"`       // the first part of the path; must be unique
	Semantics         string  `json:"Semantics"`  // one of semanticsByName
	DedupScope        string  `json:"Group"`      // servers that drop each other's repeats: one of scopesByName; default: all
	DedupWindowMicros int64   `json:"WindowUs"`   // how long servers drop a repeat, µs
	ObjectiveMicros   int64   `json:"AimUs"`      // latency objective, µs
	ObjectivePerWork  float64 `json:"AimStretch"` // added to the objective for each unit of work hinted, µs; up to the deadline
	DeadlineMicros    int64   `json:"DeadlineUs"` // over all attempts, µs
	LateValueShare    float64 `json:"LateShare"`  // value of a response past the objective, as a share
	PriorityWeight    float64 `json:"Worth"`
	Stream            bool    `json:"Stream"` // responses are long-lived streams
}

// tenantJSON is a customer with a quota.
type tenantJSON struct {
	Name           string  `json:"Name"`
	QuotaPerSecond float64 `json:"AllowancePerS"` // requests a second over all balancers
}

// limitsJSON is what the deployment permits.
type limitsJSON struct {
	Cancel               bool  `json:"Cancel"`        // attempts may be cancelled
	Hedging              bool  `json:"ParallelTries"` // a request may have several attempts in flight
	HealthChecks         bool  `json:"Probes"`
	RetryAfter           bool  `json:"RetryAfter"`      // rejections may carry Retry-After
	Gossip               bool  `json:"Peers"`           // messages between balancers; refused by this program
	MaxAttempts          int   `json:"MaxAttempts"`     // of a request
	MaxRetryAfterMicros  int64 `json:"MaxRetryAfterUs"` // µs
	ConnIdleMicros       int64 `json:"ConnIdleUs"`      // servers close a connection that is idle for so long, µs; default 10 s
	DialTimeoutMicros    int64 `json:"DialTimeoutUs"`   // µs; default 250 ms
	CPUMicrosPerSecond   int64 `json:"CpuUsPerS"`       // for decisions, µs a second
	MaxBufferedResponses int   `json:"HeldReplies"`     // while clients read them
}

// loadReportsJSON is how servers report their load.
type loadReportsJSON struct {
	Via string `json:"Via"` // one of loadReportSources
}

// objectiveJSON is how the service is judged: weights of the parts, but for ToleratedLateShare.
type objectiveJSON struct {
	Overall            float64 `json:"Whole"`
	WorstWindow        float64 `json:"WorstWindow"`
	WorstClass         float64 `json:"WorstClass"`
	WorstTenant        float64 `json:"WorstTenant"`
	TailLatency        float64 `json:"Tail"`
	ToleratedLateShare float64 `json:"BorneMisses"` // 0 to 1: the share of late responses that TailLatency tolerates
}

// pricesJSON is what the judgement takes off.
type pricesJSON struct {
	CrossZone   float64 `json:"CrossZone"`  // for an attempt to another zone, as a share of the first attempts
	Connection  float64 `json:"Connection"` // for 100 open connections a server on average
	HealthCheck float64 `json:"Probe"`      // for a health check, as a share of the first attempts
}

// keysJSON is what is known of the requests' keys.
type keysJSON struct {
	KeyAffinity bool `json:"WarmKeys"` // a server that served a key lately needs less work for it
}

// guaranteesJSON is what the service promises its clients, and what its servers need.
type guaranteesJSON struct {
	AnswerSlackMicros         int64    `json:"AnswerSlackUs"`       // tolerance when a retry's time left is compared with that of first tries, µs
	PollIntervalMicros        int64    `json:"AskEveryUs"`          // the list is polled at least so often where it is not pushed, µs
	DrainGraceMicros          int64    `json:"StopSendingWithinUs"` // a draining server gets nothing new after this, µs
	SlowStartMinShare         float64  `json:"ColdFrom"`            // 0 to 1: capacity of a server that has just started
	SlowStartWindowMicros     int64    `json:"ColdUs"`              // until it has all of its capacity, µs
	OverloadFactor            float64  `json:"OverloadFactor"`      // multiple of its part of the load that overloads a server in slow start
	OverloadWindowMicros      int64    `json:"FallUs"`              // time over which OverloadFactor is taken, µs
	AttemptBudgetMin          float64  `json:"ExtraFloor"`          // attempts beyond the first that a window may have at least
	AttemptBudgetRatio        *float64 `json:"ResendRatio"`         // attempts beyond the first for each request of a window; needs ResendSpanUs
	AttemptBudgetWindowMicros *int64   `json:"ResendSpanUs"`        // length of a window, µs; absent: no attempt budget
}

// capacitySources are the meanings of the list's capacities: none stated, or none (silent); as rated (nominal); roughly
// as rated (rough); lowered by the load some time ago (live).
var capacitySources = []string{"", "silent", "nominal", "rough", "live"}

// loadReportSources are the ways of load reports: none (silent); in health checks (pull); in responses (piggyback).
var loadReportSources = []string{"", "silent", "pull", "piggyback"}

var semanticsByName = map[string]decide.Semantics{
	"idempotent": decide.Idempotent, "deduplicated": decide.IdempotencyKeyed, "at_most_once": decide.AtMostOnce,
}

var scopesByName = map[string]decide.Scope{
	"": decide.ScopeAll, "all": decide.ScopeAll, "zone": decide.ScopeZone, "cell": decide.ScopeCell,
}

// Transport is the part of the settings that connections need; the decisions do not.
type Transport struct {
	ConnIdle        time.Duration // servers close a connection that is idle for so long
	DialTimeout     time.Duration // a connection that is not up by then counts as refused
	HealthCheckLoad bool          // load reports come with health checks
}

const (
	defaultConnIdle    = 10 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
)

// ParseSettings reads a settings object. Its error names the first key that is invalid.
func ParseSettings(text []byte) (decide.Settings, error) {
	settings, _, err := parseSettings(text)
	return settings, err
}

func parseSettings(text []byte) (settings decide.Settings, transport Transport, err error) {
	var in settingsJSON
	if err := json.Unmarshal(text, &in); err != nil {
		return settings, transport, fmt.Errorf("settings are not the JSON expected: %w", err)
	}
	if transport, err = in.transport(); err != nil {
		return settings, transport, err
	}
	settings, err = in.decisions()
	return settings, transport, err
}

// transport returns what connections need.
func (in *settingsJSON) transport() (Transport, error) {
	t := Transport{ConnIdle: defaultConnIdle, DialTimeout: defaultDialTimeout, HealthCheckLoad: in.LoadReports.Via == "pull"}
	l := in.Limits
	if l.ConnIdleMicros < 0 || l.DialTimeoutMicros < 0 {
		return t, fmt.Errorf("settings: Limits.ConnIdleUs and Limits.DialTimeoutUs must not be negative")
	}
	if l.ConnIdleMicros > 0 {
		t.ConnIdle = time.Duration(l.ConnIdleMicros) * time.Microsecond
	}
	if l.DialTimeoutMicros > 0 {
		t.DialTimeout = time.Duration(l.DialTimeoutMicros) * time.Microsecond
	}
	return t, nil
}

// decisions returns what the decisions need.
func (in *settingsJSON) decisions() (settings decide.Settings, err error) {
	if !slices.Contains(capacitySources, in.CapacitySource) {
		return settings, fmt.Errorf("settings: WeightSource: unknown kind %q", in.CapacitySource)
	}
	if !slices.Contains(loadReportSources, in.LoadReports.Via) {
		return settings, fmt.Errorf("settings: Report.Via: unknown kind %q", in.LoadReports.Via)
	}
	settings = decide.Settings{
		Zone: in.Zone, BalancerIndex: in.BalancerIndex, BalancerCount: in.BalancerCount,
		EndpointsPushed: in.RegistryMode == "pushed", OverQuotaWeight: in.OverQuotaWeight,
		CrossZonePrice: in.Prices.CrossZone, ConnectionPrice: in.Prices.Connection, HealthCheckPrice: in.Prices.HealthCheck,
		LoadFromHealthChecks: in.LoadReports.Via == "pull",
		CapacityListed:       in.CapacitySource == "nominal" || in.CapacitySource == "rough" || in.CapacitySource == "live",
		CapacityFollowsLoad:  in.CapacitySource == "live",
		KeyAffinity:          in.Keys.KeyAffinity,
		Objective:            in.Objective.objective(),
		Limits:               in.limits(),
	}
	if settings.Rules, err = in.Guarantees.rules(); err != nil {
		return settings, err
	}
	for i := range in.Classes {
		class, err := in.Classes[i].class()
		if err != nil {
			return settings, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, t := range in.Tenants {
		settings.Tenants = append(settings.Tenants, decide.Tenant{Name: t.Name, Allowance: t.QuotaPerSecond})
	}
	return settings, settings.Validate()
}

func (in *settingsJSON) limits() decide.Limits {
	l := &in.Limits
	return decide.Limits{
		Cancel: l.Cancel, Hedging: l.Hedging, HealthChecks: l.HealthChecks, RetryAfter: l.RetryAfter, Gossip: l.Gossip,
		MaxAttempts: l.MaxAttempts, MaxBufferedResponses: l.MaxBufferedResponses, MaxRetryAfter: l.MaxRetryAfterMicros,
		MinEventInterval: in.MinEventMicros, DecisionCPU: l.CPUMicrosPerSecond,
	}
}

func (in *objectiveJSON) objective() decide.ServiceObjective {
	return decide.ServiceObjective{
		Overall: in.Overall, WorstWindow: in.WorstWindow, WorstClass: in.WorstClass, WorstTenant: in.WorstTenant, TailLatency: in.TailLatency,
		ToleratedLateShare: in.ToleratedLateShare,
	}
}

func (in *guaranteesJSON) rules() (decide.Rules, error) {
	rules := decide.Rules{
		AnswerSlack: in.AnswerSlackMicros, PollInterval: in.PollIntervalMicros, DrainGrace: in.DrainGraceMicros,
		SlowStartMinShare: in.SlowStartMinShare, SlowStartWindow: in.SlowStartWindowMicros,
		OverloadFactor: in.OverloadFactor, OverloadWindow: in.OverloadWindowMicros, AttemptBudgetMin: in.AttemptBudgetMin,
	}
	if (in.AttemptBudgetRatio == nil) != (in.AttemptBudgetWindowMicros == nil) {
		return rules, fmt.Errorf("settings: Guarantees.ResendRatio and Guarantees.ResendSpanUs need each other")
	}
	if in.AttemptBudgetRatio != nil {
		rules.AttemptBudgetRatio, rules.AttemptBudgetWindow = *in.AttemptBudgetRatio, *in.AttemptBudgetWindowMicros
	}
	return rules, nil
}

func (in *classJSON) class() (decide.Class, error) {
	semantics, ok := semanticsByName[in.Semantics]
	if !ok {
		return decide.Class{}, fmt.Errorf("settings: class %s: unknown semantics %q", in.Name, in.Semantics)
	}
	scope, ok := scopesByName[in.DedupScope]
	if !ok {
		return decide.Class{}, fmt.Errorf("settings: class %s: unknown group %q", in.Name, in.DedupScope)
	}
	return decide.Class{
		Name: in.Name, LatencyObjective: in.ObjectiveMicros, Deadline: in.DeadlineMicros, ObjectivePerWork: in.ObjectivePerWork,
		PriorityWeight: in.PriorityWeight, LateValueShare: in.LateValueShare, Semantics: semantics, DedupScope: scope,
		DedupWindow: in.DedupWindowMicros, Stream: in.Stream,
	}, nil
}
