package decide

// Units of time, which is in microseconds.
const (
	millisecond = int64(1_000)
	second      = 1000 * millisecond
)
