package decide

// Units of time. All times are in µs.
const (
	millisecond = int64(1_000)
	second      = 1000 * millisecond
)
