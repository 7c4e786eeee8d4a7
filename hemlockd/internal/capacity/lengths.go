package capacity

import "math"

const (
	// initialSpread is how far callers' guesses of an answer's length are
	// thought to be off before any answer has ended: the standard deviation of
	// the logarithm of length over guess.
	initialSpread = 0.5
	// spreadWeight is the weight of one answer in what is known of that.
	spreadWeight = 0.02
	// leastSpread and mostSpread bound it.
	leastSpread, mostSpread = 0.1, 1.5
	// mostRatio bounds the ratio of length and guess that one answer counts with.
	mostRatio = 8
)

// lengths predicts how long answers become. Guesses are taken to be right at the
// median and off by a log-normal factor, whose spread is learned.
type lengths struct{ variance float64 }

func newLengths() lengths { return lengths{variance: initialSpread * initialSpread} }

// learn takes in the length of an answer that has ended.
func (l *lengths) learn(guess, length int) {
	if guess <= 0 || length <= 0 {
		return
	}
	ratio := min(mostRatio, max(1.0/mostRatio, float64(length)/float64(guess)))
	square := math.Log(ratio) * math.Log(ratio)
	l.variance += spreadWeight * (square - l.variance)
	l.variance = min(mostSpread*mostSpread, max(leastSpread*leastSpread, l.variance))
}

// expect returns the expected length of an answer that has made tokens so far
// and ends with most at the latest.
func (l lengths) expect(guess, made, most int) int {
	if guess <= 0 {
		return most
	}
	spread := math.Sqrt(l.variance)
	mean := float64(guess) * math.Exp(l.variance/2)
	if made > 0 {
		// The mean of the lengths beyond made.
		z := math.Log(float64(made)/float64(guess)) / spread
		beyond := normalTail(z)
		if beyond < 1e-6 {
			return most
		}
		mean *= normalTail(z-spread) / beyond
	}
	return max(made, min(int(mean), most))
}

// normalTail is the probability of a standard normal value above z.
func normalTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }
