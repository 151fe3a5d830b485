// Package repairer determines from streams that went silent which stage of their pipelines is lost.
package repairer
