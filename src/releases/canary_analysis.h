// Whether servers in a new version do worse than those that still wait, over the same time and load. No I/O.
//
// A server is one sample, however many requests it had: requests of one server fare alike, and a server
// beside a noisy neighbour is one bad server and no bad version. All servers are put in order by a figure,
// and as many of the worst are looked at as there are new ones. If the version makes no difference, the
// number of new ones among them is hypergeometric, whatever the figures' distribution. Two questions are
// asked, each with an error rate of its own:
//   bad:  shown worse by more than `worse_by`; `false_halts` bounds, over all looks of a release, how often a
//         version that is not is called bad;
//   good: shown not worse by `good_within`; `false_goods` bounds how often a wave that is passes.
// Else it is not known yet.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "agreement.pb.h"
#include "routing/server_registry.h"

namespace myrtlecroft::releases {

enum class Verdict { kNotKnown, kGood, kBad };

struct AnalysisResult {
  Verdict verdict = Verdict::kNotKnown;
  std::string why;  // figures, as one line
};

// The chance that of so many drawn out of all at least `seen` are among the marked ones.
double chance_of_marked(unsigned seen, unsigned drawn, unsigned marked, unsigned all);
// The chance of at least `seen` new ones among the first `fresh` of all, if being new makes no difference.
inline double chance_of(unsigned seen, unsigned fresh, unsigned others) {
  return chance_of_marked(seen, fresh, fresh, fresh + others);
}

constexpr unsigned kMinOthers = 2;  // servers that wait, to compare with

class CanaryAnalysis {
 public:
  // One figure of each server, the new ones apart.
  struct Figures {
    std::vector<double> fresh;
    std::vector<double> others;
  };

  // From here on everything is measured anew.
  void begin(const std::vector<routing::ServerStatus>& servers, Nanos now);
  // To be called often: a server that goes out of service, or comes back as another incarnation, is measured
  // anew.
  void watch(const std::vector<routing::ServerStatus>& servers, Nanos now);
  Nanos begun() const { return begun_; }

  // `fresh`: servers in the new version; `others`: those that wait. Looks are counted: what a false halt may
  // cost is spread over `looks` of them.
  AnalysisResult look(const agreement::Plan& plan, const std::vector<routing::ServerStatus>& servers,
                      const std::set<std::string>& fresh, const std::set<std::string>& others, unsigned looks,
                      Nanos now) const;

 private:
  struct Base {
    bool counts = false;  // it has been whole since
    bool fell = false;    // it went out of service by itself since begin()
    Nanos since = 0;
    report::LoadReport report;
  };
  // All that is judged at one look.
  struct Seen {
    std::map<std::string, Figures> figures;  // by what they are of
    std::map<std::string, unsigned> min;     // group -> the fewest requests of a new server
    unsigned fell_fresh = 0;
    unsigned fell_others = 0;
    unsigned fresh_there = 0;  // new servers that are measured
  };
  Seen measured(const agreement::Plan& plan, const std::vector<routing::ServerStatus>& servers,
                const std::set<std::string>& fresh, const std::set<std::string>& others, Nanos now) const;
  void start(Base& base, const routing::ServerStatus& server, Nanos now);

  std::map<std::string, Base> bases_;
  Nanos begun_ = 0;
};

}  // namespace myrtlecroft::releases
