Feature: Paths are matched against the templates of a manifest

  Guards against a request that is routed as another kind, or by another key,
  than the server reads from the same path.

  Scenario Outline: A path has one kind and key
    Given a path matcher for two services
    When "<method>" "<path>" is matched
    Then the match is "<kind>" of "<service>" with key <key>

    Examples:
      | method | path                         | kind     | service      | key      |
      | GET    | /lots/lot-1                  | lookup   | inventory    | "lot-1"  |
      | GET    | /lots/lot-1?verbose=1        | lookup   | inventory    | "lot-1"  |
      | GET    | /lots/a%2Fb                  | lookup   | inventory    | "a/b"    |
      | GET    | /lots/%6Cot-1                | lookup   | inventory    | "lot-1"  |
      | GET    | /%6Cots/lot-1                | lookup   | inventory    | "lot-1"  |
      | GET    | /lots/%C3%A9                 | lookup   | inventory    | "é"      |
      | GET    | /lots/a+b                    | lookup   | inventory    | "a+b"    |
      | GET    | /lots/%252e                  | lookup   | inventory    | "%2e"    |
      | GET    | /lots/                       | lookup   | inventory    | ""       |
      | POST   | /lots/lot-1/reservations/7   | reserve  | inventory    | "lot-1"  |
      | GET    | /certificates/2024/1.pdf     | download | certificates | null     |

  Scenario Outline: A path that no template matches is refused
    Given a path matcher for two services
    When "<method>" "<path>" is matched
    Then no template matches

    Examples: Other paths and methods
      | method | path                        |
      | GET    | /                           |
      | GET    | /lots                       |
      | GET    | /lots/a/b                   |
      | GET    | //lots/a                    |
      | GET    | /certificates               |
      | POST   | /lots/lot-1                 |
      | HEAD   | /lots/lot-1                 |
      | POST   | /lots/lot-1/reservations/   |
      | GET    | lots/lot-1                  |
      | GET    | http://host/lots/lot-1      |
      | GET    | *                           |

    Examples: Paths that servers may interpret differently
      | method | path                        |
      | GET    | /lots/.                     |
      | GET    | /lots/..                    |
      | GET    | /lots/%2e%2e                |
      | GET    | /certificates/../lots/lot-1 |
      | GET    | /lots/%FF                   |
      | GET    | /lots/é                     |

  Scenario: Every key is decoded from its percent-encoded form
    Then every key is matched in a path that percent-encodes it

  Scenario: Templates that overlap are detected
    Then two templates overlap exactly when some path matches both

  Scenario: The segment tree finds what each template alone matches
    Then the matcher agrees with matching the templates one by one
