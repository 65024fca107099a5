package soak

import (
	"fmt"
	"strings"
)

// Paths of the routes. The route of movePath alternates between the services.
const (
	viewPath, savePath, findPath, movePath = "/view/", "/save/", "/find/", "/move/"
	host                                   = "wiki.example"
)

// services lists the services of the cluster.
var services = []string{"pages", "finder"}

// servicesOf returns the services to which any version may route path.
func servicesOf(path string) []string {
	switch {
	case path == viewPath || path == savePath:
		return services[:1]
	case path == findPath:
		return services[1:]
	case path == movePath || isMarker(path):
		return services
	}
	return nil
}

// markerPath returns the path of the route that version adds. A response other than 404 shows that
// this version or a later one is in force.
func markerPath(version int) string { return fmt.Sprintf("/marker%d/", version) }

func isMarker(path string) bool { return strings.HasPrefix(path, "/marker") }

const (
	configurationForm = `{"version":"r%d","routes":{"columns":["name","host","prefix","kind","timeoutS","targetLatencyS","priority","service","maxAttempts"],` +
		`"rows":[%s]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[%s]},` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":5,"idleTimeoutS":30}}`
	routeForm   = `["r%s","` + host + `",%q,%q,4,0.5,%d,%q,2]`
	serviceForm = `[%q,"/health",100,"h1",false]`
)

// configuration returns the operator's configuration of a version. The number in the version name
// differs from version, as the names of consecutive versions need not be consecutive.
func configuration(version int) []byte {
	route := func(path, kind string, priority int, service string) string {
		return fmt.Sprintf(routeForm, strings.ReplaceAll(path, "/", "-"), path, kind, priority, service)
	}
	routes := []string{
		route(viewPath, "safe", 0, services[0]), route(savePath, "unsafe", 0, services[0]),
		route(findPath, "safe", 1, services[1]), route(movePath, "safe", 2, services[version%len(services)]),
	}
	for marker := 1; marker <= version; marker++ {
		routes = append(routes, route(markerPath(marker), "safe", 2, services[marker%len(services)]))
	}
	var rows []string
	for _, service := range services {
		rows = append(rows, fmt.Sprintf(serviceForm, service))
	}
	return fmt.Appendf(nil, configurationForm, 3*version+1, strings.Join(routes, ","), strings.Join(rows, ","))
}
