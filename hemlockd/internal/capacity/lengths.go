package capacity

import "math"

const (
	// initialSpread is the assumed error of callers' guesses of an answer's length
	// before any answer has completed: the standard deviation of the logarithm of the
	// ratio of length and guess.
	initialSpread = 0.5
	// spreadWeight is the weight of one answer in the moving average of the variance.
	spreadWeight = 0.02
	// minSpread and maxSpread bound the estimated spread.
	minSpread, maxSpread = 0.1, 1.5
	// maxRatio bounds the ratio of length and guess of one answer, and its inverse.
	maxRatio = 8
)

// lengthEstimator estimates the lengths of answers. The ratio of length and guess is
// modelled as log-normal with median 1, whose variance is learned from completed
// answers.
type lengthEstimator struct{ variance float64 }

func newLengthEstimator() lengthEstimator {
	return lengthEstimator{variance: initialSpread * initialSpread}
}

// observe updates the variance with the length of a completed answer.
func (l *lengthEstimator) observe(guess, length int) {
	if guess <= 0 || length <= 0 {
		return
	}
	ratio := min(maxRatio, max(1.0/maxRatio, float64(length)/float64(guess)))
	square := math.Log(ratio) * math.Log(ratio)
	l.variance += spreadWeight * (square - l.variance)
	l.variance = min(maxSpread*maxSpread, max(minSpread*minSpread, l.variance))
}

// expect returns the expected length of an answer that has generated tokens so far
// and is at most limit tokens long.
func (l lengthEstimator) expect(guess, generated, limit int) int {
	if guess <= 0 {
		return limit
	}
	spread := math.Sqrt(l.variance)
	mean := float64(guess) * math.Exp(l.variance/2)
	if generated > 0 {
		// The conditional mean, given a length above generated.
		z := math.Log(float64(generated)/float64(guess)) / spread
		beyond := normalTail(z)
		if beyond < 1e-6 {
			return limit
		}
		mean *= normalTail(z-spread) / beyond
	}
	return max(generated, min(int(mean), limit))
}

// normalTail returns the probability that a standard normal variable exceeds z.
func normalTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }
