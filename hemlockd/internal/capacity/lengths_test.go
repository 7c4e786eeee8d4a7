package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestExpectedLengthMatchesSamples compares expect with the mean of random lengths,
// also for answers that have exceeded the caller's guess.
func TestExpectedLengthMatchesSamples(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := newLengthEstimator()
	const guess, most = 5000, 1 << 30
	for _, made := range []int{0, 2500, 5000, 7500, 10000} {
		total, n := 0.0, 0
		for range 400000 {
			length := guess * math.Exp(initialSpread*rng.NormFloat64())
			if length > float64(made) {
				total += length
				n++
			}
		}
		want := total / float64(n)
		if got := float64(l.expect(guess, made, most)); math.Abs(got-want) > 0.02*want {
			t.Errorf("after %d tokens: expected length %.0f, mean of the samples %.0f", made, got, want)
		}
	}
}

func TestLengthIsBounded(t *testing.T) {
	l := newLengthEstimator()
	for _, c := range []struct{ guess, made, most, want int }{
		{0, 10, 900, 900}, {500, 890, 900, 900}, {500, 900, 900, 900}, {1, 100000, 200000, 200000},
	} {
		if got := l.expect(c.guess, c.made, c.most); got != c.want {
			t.Errorf("expect(%d, %d, %d) = %d, want %d", c.guess, c.made, c.most, got, c.want)
		}
	}
}

func TestSpreadIsLearned(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	l := newLengthEstimator()
	for range 2000 {
		l.observe(5000, int(5000*math.Exp(0.2*rng.NormFloat64())))
	}
	if spread := math.Sqrt(l.variance); spread < 0.15 || spread > 0.25 {
		t.Errorf("learned spread %.2f, want about 0.2", spread)
	}
}
