// Command rattantray is a router for model pipelines over mixed accelerators.
package main
