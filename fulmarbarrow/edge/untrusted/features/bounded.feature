Feature: Clients that nobody controls can't use up a process

  The host has 128 MiB of memory and a body may have 2 MiB. The process stays
  within the memory of the host, keeps its descriptors bounded, and answers an
  ordinary request while the crowd's connections are still open.

  Scenario: Large bodies that stop short of their end
    Given a router with 128 MiB of memory for bodies of 2 MiB
    When 60 clients send all but a byte of 2 MiB
    Then an ordinary request is answered
    And the process has kept within its memory

  Scenario: Large bodies in pieces that stop short of their end
    Given a router with 128 MiB of memory for bodies of 2 MiB
    When 60 clients send all but a byte of 2 MiB in pieces of 16 KiB
    Then an ordinary request is answered
    And the process has kept within its memory

  Scenario: Large bodies that are complete
    Given a router with 128 MiB of memory for bodies of 2 MiB
    When 60 clients send 2 MiB at once
    Then an ordinary request is answered
    And the process has kept within its memory

  Scenario: Large chunks without the last one
    Given a router with 128 MiB of memory for bodies of 2 MiB
    When 60 clients send 2 MiB in chunks of 32768 bytes without the last chunk
    Then an ordinary request is answered
    And the process has kept within its memory

  Scenario: Very small chunks without the last one
    Given a router with 128 MiB of memory for bodies of 2 MiB
    When 120 clients send 1 MiB in chunks of 64 bytes without the last chunk
    Then an ordinary request is answered
    And the process has kept within its memory

  Scenario: Bodies far over the limit
    Given a router with 128 MiB of memory for bodies of 2 MiB
    When 40 clients announce 64 MiB and send 16 MiB
    And 40 clients send 16 MiB in chunks of 32768 bytes without the last chunk
    Then an ordinary request is answered
    And the process has kept within its memory

  Scenario: Forms with very many fields
    Given a router with 128 MiB of memory for bodies of 2 MiB
    When 8 clients send forms of 2 MiB with a field each 6 bytes
    Then an ordinary request is answered
    And the process has kept within its memory

  Scenario: More connections than the process accepts
    Given a router that accepts 100 connections
    When 300 clients send half of a request's headers
    Then an ordinary request is answered
    And the process has at most 200 descriptors open

  Scenario: Announcements on the upstreams' port that stop short of their end
    Given a router with 128 MiB of memory for bodies of 2 MiB
    When 12 upstreams send all but a byte of 12 MiB
    Then an ordinary request is answered
    And the process has kept within its memory

  Scenario: Very many requests on connections that read no answers
    Given a router with 128 MiB of memory for bodies of 2 MiB
    When 100 clients send requests for 64 KiB and read nothing
    Then an ordinary request is answered
    And the process has kept within its memory
