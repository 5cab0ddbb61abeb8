Feature: Generated code matches its source

  Guards against a message changed in the interface file or in the generated
  module only, which two versions of a host would then read differently.

  Scenario: Every struct has the fields of the interface file
    When the thrift interface file is parsed
    Then each struct equals the generated class of its name
    And there is no other generated class
