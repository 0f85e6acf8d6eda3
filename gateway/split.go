package gateway

import (
	"math"
	"math/rand/v2"
	"sync"

	"filbertmill.example/config/dynamic"
)

// goldenRatio is the step of the sequence by which a splitter divides requests. Any
// run of its multiples, modulo 1, is spread evenly.
const goldenRatio = 0.6180339887498949

// splitter chooses the services for the requests of split routes. A node's shares
// differ from the weights by about one request, however many requests it has had, so
// that those of the whole fleet are exact even with few requests a node. The zero
// value is ready for use. It is safe for concurrent use.
type splitter struct {
	mu sync.Mutex
	// points has, by route, the latest point of the sequence, from 0 to 1. Each
	// sequence begins at random, so that nodes do not favour the same service.
	points map[string]float64
}

// service returns the service for a request of a route.
func (s *splitter) service(route *dynamic.Route) string {
	total := 0
	for _, share := range route.Split {
		total += share.Weight
	}
	if total == 0 {
		return route.Service
	}
	left := s.nextPoint(route.Name) * float64(total)
	for _, share := range route.Split {
		if left -= float64(share.Weight); left < 0 {
			return share.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// nextPoint returns the next point of a route's sequence.
func (s *splitter) nextPoint(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.points == nil {
		s.points = make(map[string]float64)
	}
	point, known := s.points[route]
	if !known {
		point = rand.Float64()
	}
	_, point = math.Modf(point + goldenRatio)
	s.points[route] = point
	return point
}
