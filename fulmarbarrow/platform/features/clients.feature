Feature: Clients' requests become requests of the product

  Background:
    Given the document
      """
      {"Version": 3,
       "Routes": [
        {"Name": "a", "Host": "x.example", "PathPrefix": "/lo/", "RouteType": "streaming",
         "TimeoutMs": 12000, "TargetLatencyMs": 500, "Priority": 1, "MaxAttempts": 2,
         "StreamResume": true, "TargetGapMs": 300,
         "TrafficSplit": [{"Service": "m", "Weight": 3}, {"Service": "n", "Weight": 1}]},
        {"Name": "b", "Host": "x.example", "PathPrefix": "/lo/order/", "RouteType": "non_idempotent",
         "TimeoutMs": 2000, "TargetLatencyMs": 400, "Service": "n"},
        {"Name": "c", "Host": "x.example", "PathPrefix": "/free/", "RouteType": "idempotent",
         "TimeoutMs": 2000, "Service": "n", "SkipAuth": true},
        {"Name": "d", "Host": "x.example", "PathPrefix": "/chat/", "RouteType": "streaming",
         "TimeoutMs": 2000, "Service": "m"}],
       "Services": [
        {"Name": "m", "Engine": {"Slots": 10, "KvCapacityTokens": 50000}, "ColdPerS": 24.0, "ColdStartS": 3.0},
        {"Name": "n", "MaxConnections": 110}],
       "Tenants": [{"Name": "t1", "ApiKeys": ["k1", "k2"], "Priority": 0}, {"Name": "t2", "ApiKeys": ["k3"]}]}
      """

  Scenario Outline: The longest prefix decides, and what may be repeated
    When a client asks for "<path>" with the key "k3"
    Then it is taken for route "<route>", <repeat>, with <attempts> attempts

    Examples:
      | path           | route              | repeat        | attempts |
      | /lo/2f         | x.example/lo/      | repeatable    | 2        |
      | /lo/order/7?a=b | x.example/lo/order/ | once          | 1        |
      | /chat/1        | x.example/chat/    | once          | 1        |
      | /free/1/2      | x.example/free/    | repeatable    | 1        |

  Scenario: A tenant's rank goes before the route's
    When a client asks for "/lo/2f" with the key "k2"
    Then it is of account "t1" with rank 0
    When a client asks for "/lo/2f" with the key "k3"
    Then it is of account "t2" with rank 1

  Scenario Outline: What is not allowed is refused with the platform's status
    When a client asks for "<path>" with the key "<key>"
    Then it is refused as <code> with status <status>

    Examples:
      | path   | key  | code             | status |
      | /lo/2f | none | unauthorized     | 401    |
      | /lo/2f | k9   | unauthorized     | 401    |
      | /none  | k1   | no_route         | 404    |
      | /lo    | k1   | no_route         | 404    |

  Scenario: Without a configuration nothing is known to be wrong
    Given no document
    When a client asks for "/lo/2f" with the key "k1"
    Then it is refused as no_configuration with status 503
    And it is told to return within 2000 ms

  Scenario: A public route needs no key
    When a client asks for "/free/1" with the key "none"
    Then it is of account "" with rank 0

  Scenario: The shorter of the client's time and the route's holds
    When a client asks for "/lo/2f" with the key "k1" and 700 ms left
    Then it has 700 ms
    When a client asks for "/lo/order/1" with the key "k1" and 9000 ms left
    Then it has 2000 ms

  Scenario: Only what is the client's to say goes to workers
    When a client asks for "/lo/2f" with the key "k1" and the fields
      | name               | value        |
      | X-Model            | m            |
      | X-Tenant           | forged       |
      | X-Hold             | 1            |
      | X-Pin-Duration     | 4000         |
      | X-Kv-Backup        | 10.0.0.1:80  |
      | Kv-From            | 10.0.0.1:8/1 |
      | Kv-Fetch           | 10.0.0.1:80  |
      | X-Expected-Instance | i-0         |
      | X-Request-Priority | 0            |
      | Connection         | X-Secret     |
      | X-Secret           | 1            |
      | X-Token-Count      | 1460,80      |
      | X-Prompt-Prefix    | 5c:800,91:410,e4:250 |
    Then only the fields "Host, X-Request-Id, X-Model, X-Token-Count, X-Prompt-Prefix" go on
    And its prompt has the parts "5c, 91, e4" and it costs 5000

  Scenario: The service is drawn by the weights, the same for a request
    When 4000 clients ask for "/lo/2f" with the key "k1"
    Then service "m" gets between 2850 and 3150 of them

  Scenario Outline: A status that promises "not run" is only sent when that is true
    When a request is refused as <code> that has run <ran>
    Then the status is <status>

    Examples:
      | code              | ran     | status |
      | overloaded        | no      | 503    |
      | deadline_exceeded | no      | 503    |
      | upstream_refused  | unknown | 502    |
      | upstream_failed   | unknown | 502    |
      | timeout           | unknown | 504    |

  Scenario Outline: A number without a bound is no error and stays within 64 bits
    When a client asks for "/lo/2f" with the key "k1" and a field <name> of <value>
    Then it has 12000 ms
    And every number of the request fits into 64 bits

    Examples:
      | name               | value      |
      | X-Request-Deadline | 5000 nines |
      | X-Request-Deadline | 40 nines   |
      | X-Request-Deadline | ²          |
      | X-Token-Count      | 5000 nines |
      | X-Token-Count      | 30 nines   |
      | X-Token-Count      | ²,1        |
      | Last-Event-Id      | 5000 nines |
      | Last-Event-Id      | ²          |
      | X-Prompt-Prefix    | a:²        |
      | X-Prompt-Prefix    | many parts of 30 nines |
