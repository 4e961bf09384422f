package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"damsonscale/decide"
)

// settingsJSON is the JSON form of the settings. The struct tags map each key to the term that the code uses; the comments
// give the unit and the default. The case of keys is ignored. An absent number is 0, which means none or no limit unless a
// comment says otherwise. Parse ignores unknown keys; WithFleetSettings returns an error for them.
type settingsJSON struct {
	BalancerCount   int             `json:"Balancers"`      // number of balancers of the service
	BalancerIndex   int             `json:"Me"`             // index of this balancer among them
	Zone            string          `json:"Zone"`           // zone of this balancer; empty: unknown
	RegistryMode    string          `json:"RegistryMode"`   // "pushed": an agent pushes the endpoint list; else: it is polled
	CapacitySource  string          `json:"WeightSource"`   // meaning of the capacities in the endpoint list: one of capacitySources
	OverQuotaWeight float64         `json:"OverShareWorth"` // factor on the priority weight of a tenant's requests over its quota
	MinEventMicros  int64           `json:"TickUs"`         // minimum time between two events, µs
	Classes         []classJSON     `json:"Services"`       // at least one
	Tenants         []tenantJSON    `json:"Realms"`
	Limits          limitsJSON      `json:"Limits"`
	LoadReports     loadReportsJSON `json:"Report"`
	Objective       objectiveJSON   `json:"ScoringMix"`
	Prices          pricesJSON      `json:"Prices"`
	Keys            keysJSON        `json:"FamilyInfo"`
	Guarantees      guaranteesJSON  `json:"Guarantees"`
}

// classJSON is one class of requests.
type classJSON struct {
	Name              string  `json:"Name"`       // first segment of the path of its requests; unique
	Semantics         string  `json:"Semantics"`  // a key of semanticsByName
	DedupScope        string  `json:"Group"`      // servers that deduplicate requests together: a key of scopesByName; default: all
	DedupWindowMicros int64   `json:"WindowUs"`   // how long servers recognize a duplicate, µs
	ObjectiveMicros   int64   `json:"AimUs"`      // latency objective, µs
	ObjectivePerWork  float64 `json:"AimStretch"` // added to the objective for each unit of hinted work, µs; the sum is capped at the deadline
	DeadlineMicros    int64   `json:"DeadlineUs"` // deadline of a request over all its attempts, µs
	LateValueShare    float64 `json:"LateShare"`  // value of a response after the objective, as a share of a timely response's value
	PriorityWeight    float64 `json:"Worth"`
	Stream            bool    `json:"Stream"` // responses are long-lived streams
}

// tenantJSON is a tenant with its quota.
type tenantJSON struct {
	Name           string  `json:"Name"`
	QuotaPerSecond float64 `json:"AllowancePerS"` // requests per second over all balancers
}

// limitsJSON are the means that the deployment permits the balancer, and their limits.
type limitsJSON struct {
	Cancel               bool  `json:"Cancel"`          // attempts may be cancelled
	Hedging              bool  `json:"ParallelTries"`   // a request may have several attempts in flight
	HealthChecks         bool  `json:"Probes"`          // servers may be sent health checks
	RetryAfter           bool  `json:"RetryAfter"`      // rejections may have a Retry-After header
	Gossip               bool  `json:"Peers"`           // balancers may exchange messages; not supported by this program
	MaxAttempts          int   `json:"MaxAttempts"`     // attempts per request
	MaxRetryAfterMicros  int64 `json:"MaxRetryAfterUs"` // maximum of Retry-After, µs
	ConnIdleMicros       int64 `json:"ConnIdleUs"`      // idle time after which servers close a connection, µs; default 10 s
	DialTimeoutMicros    int64 `json:"DialTimeoutUs"`   // µs; default 250 ms
	CPUMicrosPerSecond   int64 `json:"CpuUsPerS"`       // CPU time for decisions, µs per second
	MaxBufferedResponses int   `json:"HeldReplies"`     // responses that are buffered while slow clients read them
}

// loadReportsJSON is how servers report their load.
type loadReportsJSON struct {
	Via string `json:"Via"` // one of loadReportSources
}

// objectiveJSON is how the service is evaluated. The fields are the weights of its parts, except for ToleratedLateShare.
type objectiveJSON struct {
	Overall            float64 `json:"Whole"`
	WorstWindow        float64 `json:"WorstWindow"`
	WorstClass         float64 `json:"WorstClass"`
	WorstTenant        float64 `json:"WorstTenant"`
	TailLatency        float64 `json:"Tail"`
	ToleratedLateShare float64 `json:"BorneMisses"` // 0 to 1: the share of late responses that TailLatency tolerates
}

// pricesJSON are the prices that are deducted in the evaluation of the service, as shares of its objective.
type pricesJSON struct {
	CrossZone   float64 `json:"CrossZone"`  // price of one attempt to another zone per first attempt
	Connection  float64 `json:"Connection"` // price of 100 open connections per server on average
	HealthCheck float64 `json:"Probe"`      // price of one health check per first attempt
}

// keysJSON describes the keys of requests.
type keysJSON struct {
	KeyAffinity bool `json:"WarmKeys"` // a server that has recently served a key needs less work for its next request
}

// guaranteesJSON are the guarantees of the service to its clients, and the requirements of its servers.
type guaranteesJSON struct {
	AnswerSlackMicros         int64    `json:"AnswerSlackUs"`       // tolerance when a retry's remaining time is compared with that of first attempts, µs
	PollIntervalMicros        int64    `json:"AskEveryUs"`          // maximum time between polls of an endpoint list that is not pushed, µs
	DrainGraceMicros          int64    `json:"StopSendingWithinUs"` // time after which a draining server must get no new attempt, µs
	SlowStartMinShare         float64  `json:"ColdFrom"`            // capacity of a server that has just started, as a share: 0 to 1
	SlowStartWindowMicros     int64    `json:"ColdUs"`              // time until a started server has its full capacity, µs
	OverloadFactor            float64  `json:"OverloadFactor"`      // multiple of its share of the load that overloads a server in slow start
	OverloadWindowMicros      int64    `json:"FallUs"`              // time over which the load for OverloadFactor is measured, µs
	AttemptBudgetMin          float64  `json:"ExtraFloor"`          // attempts beyond the first of each request that any window allows
	AttemptBudgetRatio        *float64 `json:"ResendRatio"`         // further such attempts per request of a window; requires ResendSpanUs
	AttemptBudgetWindowMicros *int64   `json:"ResendSpanUs"`        // length of a window, µs; absent: no attempt budget
}

// capacitySources are the meanings of the capacities in the endpoint list:
//
//	"", silent  the list has no capacities
//	nominal     the rated capacity
//	rough       approximately the rated capacity
//	live        the capacity that was left under the load of some time ago
var capacitySources = []string{"", "silent", "nominal", "rough", "live"}

// loadReportSources are the ways in which servers report their load:
//
//	"", silent  no load reports
//	pull        in responses to health checks
//	piggyback   in responses to requests
var loadReportSources = []string{"", "silent", "pull", "piggyback"}

var semanticsByName = map[string]decide.Semantics{
	"idempotent": decide.Idempotent, "deduplicated": decide.IdempotencyKeyed, "at_most_once": decide.AtMostOnce,
}

var scopesByName = map[string]decide.Scope{
	"": decide.ScopeAll, "all": decide.ScopeAll, "zone": decide.ScopeZone, "cell": decide.ScopeCell,
}

// Transport is the part of the settings that is about connections to servers and not about decisions.
type Transport struct {
	ConnIdle        time.Duration // idle time after which servers close a connection
	DialTimeout     time.Duration // time after which a connection that is not established counts as refused
	HealthCheckLoad bool          // servers report their load in responses to health checks
}

const (
	defaultConnIdle    = 10 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
)

// ParseSettings reads the JSON form of the settings. Its error names the first key that is invalid.
func ParseSettings(text []byte) (decide.Settings, error) {
	settings, _, err := parseSettings(text)
	return settings, err
}

func parseSettings(text []byte) (settings decide.Settings, transport Transport, err error) {
	var in settingsJSON
	if err := json.Unmarshal(text, &in); err != nil {
		return settings, transport, fmt.Errorf("settings are not valid JSON of the expected types: %w", err)
	}
	if transport, err = in.transport(); err != nil {
		return settings, transport, err
	}
	settings, err = in.decisions()
	return settings, transport, err
}

// transport returns the settings of connections, with defaults applied.
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

// decisions returns the settings of the balancer's decisions.
func (in *settingsJSON) decisions() (settings decide.Settings, err error) {
	if !slices.Contains(capacitySources, in.CapacitySource) {
		return settings, fmt.Errorf("settings: WeightSource: expected silent, nominal, rough or live, got %q", in.CapacitySource)
	}
	if !slices.Contains(loadReportSources, in.LoadReports.Via) {
		return settings, fmt.Errorf("settings: Report.Via: expected silent, pull or piggyback, got %q", in.LoadReports.Via)
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
		return rules, fmt.Errorf("settings: Guarantees.ResendRatio and Guarantees.ResendSpanUs: expected both or neither")
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
