package socket

import "time"

// ExpiredDeadline is a deadline in the past, which makes pending reads and writes return at once.
var ExpiredDeadline = time.Unix(1, 0)
