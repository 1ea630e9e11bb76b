// What an operator asks, as one line: a topic, and which rows of it: "servers zone=a state=silent page=2".
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace myrtlecroft::control {

enum class Topic { kNodes, kProxies, kSnapshot, kInstances, kOutings, kReleaseStatus };

struct AdminQuery {
  Topic topic = Topic::kNodes;
  std::string zone;   // of the rows; empty: any
  std::string state;  // the same; of a snapshot's servers, their health
  std::string name;   // what the row's name begins with
  std::size_t page = 1;
};

enum class Reading {
  kGood,
  kOtherTopic,  // the line begins with none of the topics
  kBadOption
};

// `fault` is filled where an option is bad: one line for the operator.
Reading read_question(std::string_view line, AdminQuery& out, std::string& fault);

}  // namespace myrtlecroft::control
