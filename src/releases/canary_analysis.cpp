#include "releases/canary_analysis.h"

#include <algorithm>
#include <boost/math/distributions/hypergeometric.hpp>
#include <cstdio>

namespace myrtlecroft::releases {
namespace {

constexpr Nanos kMinMeasured = 500 * kMs;
const std::string kNotServed = " not served";  // behind a group's name
const std::string kCoreTime = "core time";

using Figures = CanaryAnalysis::Figures;

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// New ones among as many of the worst as there are new ones, where the others are allowed so much more. One
// that ties with an other is not held against the new one.
unsigned among_worst(const Figures& figures, double allowed) {
  std::vector<std::pair<double, bool>> all;
  for (double value : figures.fresh) all.emplace_back(value, true);
  for (double value : figures.others) all.emplace_back(value + allowed, false);
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  return static_cast<unsigned>(std::count_if(all.begin(),
                                             all.begin() + static_cast<std::ptrdiff_t>(figures.fresh.size()),
                                             [](const auto& one) { return one.second; }));
}

// The same from the other end. One that ties does not speak for the new ones.
unsigned among_best(const Figures& figures, double allowed) {
  Figures turned;
  for (double value : figures.fresh) turned.fresh.push_back(-value);
  for (double value : figures.others) turned.others.push_back(-value);
  return among_worst(turned, -allowed);
}

unsigned count(const std::vector<double>& values) { return static_cast<unsigned>(values.size()); }

}  // namespace

double chance_of_marked(unsigned seen, unsigned drawn, unsigned marked, unsigned all) {
  // The library takes nothing outside of what can be.
  unsigned min = drawn + marked > all ? drawn + marked - all : 0;
  if (seen <= min) return 1;
  if (seen > std::min(drawn, marked)) return 0;
  boost::math::hypergeometric_distribution<double> spread(marked, drawn, all);
  return boost::math::cdf(boost::math::complement(spread, seen - 1));
}

void CanaryAnalysis::start(Base& base, const routing::ServerStatus& server, Nanos now) {
  base.counts = server.at_full_capacity();
  base.since = now;
  base.report = server.report;
}

void CanaryAnalysis::begin(const std::vector<routing::ServerStatus>& servers, Nanos now) {
  begun_ = now;
  bases_.clear();
  for (const routing::ServerStatus& server : servers) start(bases_[server.node.name], server, now);
}

void CanaryAnalysis::watch(const std::vector<routing::ServerStatus>& servers, Nanos now) {
  for (const routing::ServerStatus& server : servers) {
    Base& base = bases_[server.node.name];
    bool same = base.report.incarnation == server.report.incarnation;
    if (base.counts && same && routing::has_failed(server.state) && !server.out_for_maintenance) base.fell = true;
    if (server.at_full_capacity() != base.counts || !same) start(base, server, now);
  }
}

CanaryAnalysis::Seen CanaryAnalysis::measured(const agreement::Plan& plan,
                                              const std::vector<routing::ServerStatus>& servers,
                                              const std::set<std::string>& fresh,
                                              const std::set<std::string>& others, Nanos now) const {
  Seen seen;
  Figures core;
  for (const routing::ServerStatus& server : servers) {
    bool is_fresh = fresh.contains(server.node.name);
    if (!is_fresh && !others.contains(server.node.name)) continue;
    auto found = bases_.find(server.node.name);
    if (found == bases_.end()) continue;
    const Base& base = found->second;
    (is_fresh ? seen.fell_fresh : seen.fell_others) += base.fell;
    if (!base.counts || now - base.since < kMinMeasured) continue;
    seen.fresh_there += is_fresh;
    double completed = 0;
    for (const report::RequestClassCounts& counts : server.report.request_classes) {
      bool judged = plan.groups_size() == 0 || std::find(plan.groups().begin(), plan.groups().end(),
                                                         counts.request_class) != plan.groups().end();
      auto before = std::find_if(base.report.request_classes.begin(), base.report.request_classes.end(),
                                 [&](const auto& one) { return one.request_class == counts.request_class; });
      bool known = before != base.report.request_classes.end();
      auto grown = [&](std::uint64_t report::RequestClassCounts::*what) {
        return static_cast<double>(counts.*what - (known ? (*before).*what : 0));
      };
      double read = grown(&report::RequestClassCounts::read);
      double ended = grown(&report::RequestClassCounts::completed);
      completed += ended;
      if (!judged) continue;
      if (is_fresh) {
        auto [fewest, first] = seen.min.emplace(counts.request_class, static_cast<unsigned>(read));
        if (!first) fewest->second = std::min(fewest->second, static_cast<unsigned>(read));
      }
      if (read < plan.least_exchanges()) continue;
      auto put = [&](const std::string& what, double value) {
        Figures& figures = seen.figures[counts.request_class + what];
        (is_fresh ? figures.fresh : figures.others).push_back(std::clamp(value, 0.0, 1.0));
      };
      put(kNotServed, 1 - ended / read);
      if (ended >= plan.least_exchanges())
        put(" late", 1 - grown(&report::RequestClassCounts::in_time) / ended);
    }
    if (completed >= plan.least_exchanges()) {
      double each = static_cast<double>(server.report.core_time - base.report.core_time) / completed;
      (is_fresh ? core.fresh : core.others).push_back(each);
    }
  }
  // Relative to what is usual.
  double usual = median(core.others);
  if (usual > 0) {
    Figures& slower = seen.figures[kCoreTime];
    for (double value : core.fresh) slower.fresh.push_back(value / usual);
    for (double value : core.others) slower.others.push_back(value / usual);
  }
  return seen;
}

AnalysisResult CanaryAnalysis::look(const agreement::Plan& plan,
                                    const std::vector<routing::ServerStatus>& servers,
                                    const std::set<std::string>& fresh, const std::set<std::string>& others,
                                    unsigned looks, Nanos now) const {
  Seen seen = measured(plan, servers, fresh, others, now);
  char line[200];
  auto fresh_all = static_cast<unsigned>(fresh.size());
  auto others_all = static_cast<unsigned>(others.size());
  std::size_t shares = seen.figures.size() - seen.figures.count(kCoreTime);
  double tests = static_cast<double>(2 + shares) * std::max(1u, looks);  // and falling, and core time
  double max_false = plan.false_halts() / 1000.0 / tests;

  // Servers that fell, as a figure of one or none each.
  if (others_all >= kMinOthers && seen.fell_fresh > 0) {
    double chance = chance_of_marked(seen.fell_fresh, fresh_all, seen.fell_fresh + seen.fell_others,
                                     fresh_all + others_all);
    if (chance <= max_false) {
      std::snprintf(line, sizeof line,
                    "%u of %u nodes with it fell out of service, %u of %u without; chance %.2g",
                    seen.fell_fresh, fresh_all, seen.fell_others, others_all, chance);
      return {Verdict::kBad, line};
    }
  }
  AnalysisResult good{.verdict = Verdict::kGood, .why = ""};
  auto not_known = [&](const std::string& why) {
    if (good.verdict == Verdict::kGood) good = {Verdict::kNotKnown, why};
  };
  if (seen.fresh_there < fresh.size())
    not_known(std::to_string(seen.fresh_there) + " of " + std::to_string(fresh_all) +
              " nodes with it are measured");
  for (const auto& [what, figures] : seen.figures) {
    bool is_core = what == kCoreTime;
    double worse_by = (is_core ? plan.slower_by() : plan.worse_by()) / 1000.0;
    double within = is_core ? 3 * worse_by : plan.good_within() / 1000.0;
    unsigned count_fresh = count(figures.fresh);
    unsigned count_others = count(figures.others);
    if (count_fresh == 0 && count_others < kMinOthers) continue;  // nobody has this group
    if (count_fresh == 0 || count_others < kMinOthers) {
      not_known(what + ": too few nodes with enough exchanges, " + std::to_string(count_fresh) +
                " with it and " + std::to_string(count_others) + " without");
      continue;
    }
    unsigned worst = among_worst(figures, worse_by);
    double chance = chance_of(worst, count_fresh, count_others);
    std::snprintf(line, sizeof line,
                  "%s: %.3f with it, %.3f without; %u of the %u worst of %u nodes have it, chance %.2g",
                  what.c_str(), median(figures.fresh), median(figures.others), worst, count_fresh,
                  count_fresh + count_others, chance);
    if (chance <= max_false) return {Verdict::kBad, line};
    unsigned best = among_best(figures, within);
    if (2 * best < count_fresh || chance_of(best, count_fresh, count_others) > plan.false_goods() / 1000.0)
      not_known(std::string("not shown to be as good, ") + line);
  }
  for (const auto& [request_class, reads] : seen.min) {
    auto served = seen.figures.find(request_class + kNotServed);
    bool others_have = served != seen.figures.end() && !served->second.others.empty();
    if (reads < plan.least_exchanges() && others_have)
      not_known("group " + request_class + ": only " + std::to_string(reads) +
                " exchanges at some node with it");
  }
  if (seen.figures.empty()) not_known("too few exchanges");
  return good;
}

}  // namespace myrtlecroft::releases
