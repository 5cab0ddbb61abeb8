Feature: Generated code matches its source

  Guards against a message that was changed only in the interface file or only
  in the generated module, so that two versions of a host would decode it
  differently.

  Scenario: Every struct has the fields of the interface file
    When the thrift interface file is parsed
    Then each struct equals the generated class of its name
    And there is no other generated class
