package discovery

import "coralrelay/balance"

// endpointSet is the set of the IDs of the listed endpoints.
type endpointSet map[string]struct{}

// apply applies an update and returns the number of endpoints that are listed after it.
func (s *endpointSet) apply(update *Update) int {
	if *s == nil || update.Kind != balance.ListDelta {
		*s = endpointSet{}
	}
	for i := range update.Endpoints {
		if endpoint := &update.Endpoints[i]; endpoint.State == balance.Gone {
			delete(*s, endpoint.ID)
		} else {
			(*s)[endpoint.ID] = struct{}{}
		}
	}
	return len(*s)
}
