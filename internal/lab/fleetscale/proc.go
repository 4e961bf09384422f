package fleetscale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the CPU times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Usage is the resource use of a process according to /proc.
type Usage struct {
	CPU         time.Duration // used since the start of the process, in steps of 10 ms
	RSS         int64         // resident memory in bytes
	Descriptors int
}

var errUnreadableStat = errors.New("/proc/PID/stat of the process cannot be parsed")

// usageOf reads the resource use of a process.
func usageOf(pid int) (u Usage, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, after, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(after)
	if len(f) < 22 {
		return u, errUnreadableStat
	}
	var n [3]int64
	for i, at := range []int{11, 12, 21} {
		if n[i], err = strconv.ParseInt(f[at], 10, 64); err != nil {
			return u, fmt.Errorf("%w: %w", errUnreadableStat, err)
		}
	}
	u.CPU, u.RSS = time.Duration(n[0]+n[1])*clockTick, n[2]*int64(os.Getpagesize())
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(fds)
	return u, err
}

// machineMemory returns the memory of the machine in bytes, or 0 if it is unknown.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// machineLoad returns the load average over the last minute, or 0 if it is unknown.
func machineLoad() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}
