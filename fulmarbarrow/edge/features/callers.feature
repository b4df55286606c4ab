Feature: Each bad input gets a coded error and a true "ran"

  Scenario Outline: <case>
    When a caller sends
      """
      <line>
      <headers>

      <body>
      """
    Then the status is <status> with code <code> that did not run

    Examples:
      | case                       | line                                  | headers                                      | body                                   | status | code               |
      | No key                     | POST /v1/chat/completions             | X: 1                                         | {}                                     | 401    | unauthorized       |
      | A wrong key                | POST /v1/chat/completions             | Authorization: Bearer nobody's               | {}                                     | 401    | unauthorized       |
      | Models without a key       | GET /v1/models                        | X: 1                                         |                                        | 401    | unauthorized       |
      | A body that is not JSON    | POST /v1/chat/completions             | Authorization: Bearer demo-key-volos         | {"model"                               | 400    | bad_request        |
      | A body of the wrong type   | POST /v1/chat/completions             | Authorization: Bearer demo-key-volos         | {"model": 5, "messages": []}           | 400    | bad_request        |
      | No answer tokens           | POST /v1/chat/completions             | Authorization: Bearer demo-key-volos         | {"model": "lacework", "messages": [], "max_tokens": 0} | 400 | bad_request |
      | An unknown model           | POST /v1/chat/completions             | Authorization: Bearer demo-key-volos         | {"model": "gourd", "messages": []}     | 404    | no_model           |
      | A chat that is fetched     | GET /v1/chat/completions              | Authorization: Bearer demo-key-volos         |                                        | 405    | method_not_allowed |
      | A fixed path that is posted | POST /v1/models                      | Authorization: Bearer demo-key-volos         |                                        | 405    | method_not_allowed |
      | A method without a route   | DELETE /register/dies                 | Authorization: Bearer demo-key-volos         |                                        | 405    | method_not_allowed |
      | A path without a route     | GET /kiln                             | Authorization: Bearer demo-key-volos         |                                        | 404    | no_route           |
      | An order without its key   | POST /register/orders                 | Authorization: Bearer demo-key-volos         | {}                                     | 400    | key_required       |
      | An order under a disguise  | POST /register/%6frders               | Authorization: Bearer demo-key-volos         | {}                                     | 400    | key_required       |
      | A path with dots           | GET /register/x/../dies               | Authorization: Bearer demo-key-volos         |                                        | 400    | bad_request        |
      | A path with a hidden slash | GET /register%2Fdies                  | Authorization: Bearer demo-key-volos         |                                        | 400    | bad_request        |
      | A deadline of letters      | GET /register/dies                    | Authorization: Bearer demo-key-volos\nX-Deadline-Ms: soon | | 400 | bad_request |
      | A deadline of 5000 digits  | GET /register/dies                    | Authorization: Bearer demo-key-volos\nX-Deadline-Ms: <5000 digits> | | 400 | bad_request |
      | Headers above the limit    | GET /register/dies                    | X: <20000 digits>                            |                                        | 431    | headers_too_large  |
      | A line that is not HTTP    | CAKE                                  | X: 1                                         |                                        | 400    | bad_request        |

  Scenario: A body above the limit is refused before it is sent
    When a caller announces a body of 5000000 bytes
    Then the status is 413 with code body_too_large that did not run

  Scenario: A body of unknown length is refused when it passes the limit
    When a caller sends 5000000 bytes in chunks
    Then the status is 413 with code body_too_large that did not run

  Scenario: Models are listed for a valid key
    When the models are fetched with a valid key
    Then the models are die-wear, lacework, motif-check

  Scenario: A slow caller makes the daemon buffer no more than its bound
    When a caller asks for 100000 tokens and reads nothing for a while
    Then the daemon's largest backlog is within its stated bound
    And the caller then reads the whole answer

  Scenario: A chat has the same name at the engine, for its cache events
    When a chat named "motif-7" in its header is answered
    Then the engine's cache names the chat "motif-7"
