Feature: Metrics and state can be read

  Guards against metrics that are wrong or grow without limit, and against a
  dump that is too large, reveals secrets or ends the process.

  Scenario: Counters, gauges and histograms are rendered
    Given new metrics
    When metric "requests" counts "2" for "inventory, lookup, ran, none"
    And metric "unavailable" adds "0.5" for "inventory"
    And metric "lease_margin" is set to "0.45" for "inventory"
    And metric "latency" observes "0.001, 0.0011, 0.02, 11" for "inventory, lookup"
    Then the rendered metrics have the lines
      | line                                                                                            |
      | radishferry_requests_total{kind="lookup",outcome="ran",reason="none",service="inventory"} 2     |
      | radishferry_unavailable_seconds_total{service="inventory"} 0.5                                  |
      | radishferry_lease_margin_seconds{service="inventory"} 0.45                                      |
      | radishferry_manifest_version 0                                                                  |
      | radishferry_request_seconds_bucket{kind="lookup",le="0.001",service="inventory"} 1.0            |
      | radishferry_request_seconds_bucket{kind="lookup",le="0.002",service="inventory"} 2.0            |
      | radishferry_request_seconds_bucket{kind="lookup",le="0.02",service="inventory"} 3.0             |
      | radishferry_request_seconds_bucket{kind="lookup",le="10.0",service="inventory"} 3.0             |
      | radishferry_request_seconds_bucket{kind="lookup",le="+Inf",service="inventory"} 4.0             |
      | radishferry_request_seconds_count{kind="lookup",service="inventory"} 4.0                        |

  Scenario: Every declared metric has its help and type
    Given new metrics
    Then each declared metric is rendered with help and type

  Scenario: Rendering twice gives the same text
    Given new metrics
    When metric "requests" counts "1" for "inventory, lookup, ran, none"
    And metric "latency" observes "0.5" for "inventory, lookup"
    Then the rendered metrics stay the same

  Scenario: Sources set gauges before each rendering
    Given new metrics
    And a source that replaces the queue of "inventory" by the one of "ledger"
    When metric "queue_waiting" is set to "3" for "inventory"
    Then the rendered metrics have the lines
      | line                                            |
      | radishferry_queue_waiting{service="ledger"} 1   |
    And the rendered metrics do not contain "inventory"

  Scenario: An undeclared label value is counted as other
    Given new metrics
    When metric "refusals" counts "2" for "no such reason"
    Then the rendered metrics have the lines
      | line                                           |
      | radishferry_refusals_total{reason="other"} 2   |

  Scenario: The number of series is bounded
    Given new metrics
    When metric "retries" counts 1 for each of 300 services
    Then 257 series of metric "retries" are rendered with a total of 300

  Scenario: A wrong number of labels is an error
    Given new metrics
    Then counting metric "retries" for "inventory, lookup" is an error

  Scenario: Rendering needs no event loop of another library
    Guards against loading the HTTP server of the metrics library, which needs
    aiohttp and asyncio. This process serves the metrics in its own event loop.
    Then rendering metrics in a new process imports no "aiohttp"

  Scenario: A dump shows nested state
    Then the dump of a nested state is its JSON form

  Scenario: A dump is bounded and hides secrets
    Then the dump of a state with cycles and a million values is bounded
    And the dump of a state with secrets does not show them

  Scenario: A signal writes the state while the loop waits
    Given a process that waits in its poller
    When it receives SIGUSR1
    Then it writes its state to standard error
    And it still runs

  Scenario: The reference pages are current
    Then each reference page matches its declarations
