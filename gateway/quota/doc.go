// Package quota keeps the requests of each workspace within its quota over the whole
// fleet, whichever nodes they arrive at and whichever of them can reach each other.
//
// Every host holds an equal share of the fleet's time, and with it of every quota. It
// deposits its share with the homes that it uses, so that the home of a workspace may
// admit as many requests as the hosts that use it are entitled to: all of them in calm,
// and never more than one fleet in sum, whatever hosts and homes are lost, cut off or
// doubled. A node asks the home of a workspace to admit its requests, and decides by its
// own share alone if no home answers.
package quota
