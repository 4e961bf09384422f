package decide

import (
	"fmt"
	"testing"
)

// Of four equal endpoints in four zones, the endpoint in the balancer's own zone has the weight 5 and the
// others together 3 if attempts to other zones have a price of 0.03: its draw probability is
// 0.93*5/8 + 0.07/4 = 0.59875. Without a price all weights are equal.
func TestOwnZoneWeighsMoreWhenCrossingIsPriced(t *testing.T) {
	for price, want := range map[float64]float64{0: 0.25, 0.03: 0.93*5/8 + 0.07/4} {
		set := testSettings()
		set.Zone, set.CrossZonePrice = "home", price
		list := testEndpoints(4)
		for i := range list {
			list[i].Zone = fmt.Sprint("z", i)
		}
		list[2].Zone = "home"
		w := newWorkload(t, set, list...)
		r := newPlainRequest(w.b)
		drawn := false
		for range 200 {
			if s, p := w.b.drawEndpoint(w.now, r); s.Zone == "home" {
				drawn = true
				assertNear(t, fmt.Sprint("draw probability of the endpoint in the own zone at price ", price), p, want, 1e-9)
			}
		}
		if !drawn {
			t.Error("the endpoint in the own zone was not drawn in 200 draws")
		}
	}
}
