package rpaccount_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
)

type fairRequest struct {
	at   time.Duration
	cost float64
}

// fairServer serves the requests of some accounts one after the other.
type fairServer struct {
	fair            rpaccount.FairShare
	waiting         map[string][]fairRequest
	accounts        []string
	offered, served map[string]int
}

// next removes the next request that has not waited for longer than patience.
func (f *fairServer) next(now, patience time.Duration) (cost float64, ok bool) {
	chosen := ""
	for _, name := range f.accounts {
		queue := f.waiting[name]
		for len(queue) > 0 && now-queue[0].at > patience {
			queue = queue[1:]
		}
		f.waiting[name] = queue
		if len(queue) > 0 && (chosen == "" || f.fair.Tag(name) < f.fair.Tag(chosen)) {
			chosen = name
		}
	}
	if chosen == "" {
		return 0, false
	}
	r := f.waiting[chosen][0]
	f.waiting[chosen] = f.waiting[chosen][1:]
	f.fair.Advance(f.fair.Tag(chosen))
	f.fair.Charge(chosen, 1, r.cost)
	f.served[chosen]++
	return r.cost, true
}

// Guards against an account that sends many times its usual load and takes the
// others' service, and against a server that idles while requests wait.
func TestFairShareUnderOverload(t *testing.T) {
	for _, factor := range []float64{1, 3.6, 7, 7.5} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, 1))
			f := &fairServer{waiting: map[string][]fairRequest{}, offered: map[string]int{}, served: map[string]int{}}
			cost, mean := logUniform(200, 40_000)
			rates := map[string]float64{}
			usual := 0.0
			for i := range 16 {
				name := fmt.Sprintf("a%02d", i)
				f.accounts = append(f.accounts, name)
				rates[name] = 1
				if i < 3 {
					rates[name] = 6 // A few accounts are large.
				}
				usual += rates[name]
			}
			rates["a00"] *= factor
			capacity := 1.1 * usual * mean // tokens per second
			const step = 10 * time.Millisecond
			budget, idleWhileWaiting := 0.0, 0
			for now := time.Duration(0); now < 5*time.Minute; now += step {
				for _, name := range f.accounts {
					for p := random.Float64(); p < rates[name]*step.Seconds(); p++ {
						f.offered[name]++
						f.waiting[name] = append(f.waiting[name], fairRequest{now, cost(random)})
					}
				}
				for budget += capacity * step.Seconds(); budget > 0; {
					used, ok := f.next(now, 5*time.Second)
					if !ok {
						budget = 0
						for _, name := range f.accounts {
							idleWhileWaiting += len(f.waiting[name])
						}
						break
					}
					budget -= used
				}
			}
			g.Expect(idleWhileWaiting).To(BeZero())
			checkFairShares(t, f)
		})
	}
}

func checkFairShares(t *testing.T, f *fairServer) {
	g := NewWithT(t)
	offered, served := 0, 0
	for _, name := range f.accounts {
		offered += f.offered[name]
		served += f.served[name]
	}
	overall := float64(served) / float64(offered)
	least := 1.0
	for _, name := range f.accounts {
		share := float64(f.served[name]) / float64(f.offered[name])
		least = min(least, share)
		g.Expect(share).To(BeNumerically(">=", overall/4), name)
	}
	t.Logf("served %.3f overall, %.3f at the worst account", overall, least)
}

// Guards against weights without effect: an account of twice the weight gets
// twice the cost while both wait.
func TestFairShareWeights(t *testing.T) {
	g := NewWithT(t)
	var f rpaccount.FairShare
	used := map[string]float64{}
	weights := map[string]float64{"heavy": 2, "light": 1}
	for range 3000 {
		chosen := "heavy"
		if f.Tag("light") < f.Tag("heavy") {
			chosen = "light"
		}
		f.Advance(f.Tag(chosen))
		f.Charge(chosen, weights[chosen], 100)
		used[chosen] += 100
	}
	g.Expect(used["heavy"] / used["light"]).To(BeNumerically("~", 2, 0.01))
}

// Guards against an account that saves up service while it is idle, or pays for
// service that nobody else wanted.
func TestFairShareHasNoMemoryOfIdleTime(t *testing.T) {
	g := NewWithT(t)
	var f rpaccount.FairShare
	for range 1000 {
		f.Advance(f.Tag("busy"))
		f.Charge("busy", 1, 1000)
	}
	f.Advance(f.Tag("busy"))
	g.Expect(f.Tag("idle")).To(Equal(f.Tag("busy")))
	f.Advance(0)
	g.Expect(f.Tag("idle")).To(Equal(f.Tag("busy")), "the virtual time went back")
}
