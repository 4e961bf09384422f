package decide

// hash is FNV-1a. All balancers must compute the same hashes, including those of other versions.
func hash(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return h
}

// mixBits spreads a hash over all its bits; it is the finalizer of MurmurHash3.
func mixBits(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// unitInterval maps a hash to a number above 0 and up to 1.
func unitInterval(h uint64) float64 { return float64(mixBits(h)>>11+1) / (1 << 53) }
