// Whether nodes in a new version do worse than those that still wait, over the same time and load. No I/O.
//
// A node is one sample, however many exchanges it had: exchanges of one node fare alike, and a node beside a
// noisy neighbour is one bad node and no bad version. All nodes are put in order by a figure, and as many of
// the worst are looked at as there are new ones. If the version makes no difference, the number of new ones
// among them is hypergeometric, whatever the figures' distribution. Two questions are asked, each with an
// error rate of its own:
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
#include "routing/members.h"

namespace myrtlecroft::releases {

enum class Verdict { kNotKnown, kGood, kBad };

struct Finding {
  Verdict verdict = Verdict::kNotKnown;
  std::string why;  // figures, as one line
};

// The chance that of so many drawn out of all at least `seen` are among the marked ones.
double chance_of_marked(unsigned seen, unsigned drawn, unsigned marked, unsigned all);
// The chance of at least `seen` new ones among the first `fresh` of all, if being new makes no difference.
inline double chance_of(unsigned seen, unsigned fresh, unsigned others) {
  return chance_of_marked(seen, fresh, fresh, fresh + others);
}

constexpr unsigned kLeastOthers = 2;  // nodes that wait, to compare with

class Judge {
 public:
  // One figure of each node, the new ones apart.
  struct Figures {
    std::vector<double> fresh;
    std::vector<double> others;
  };

  // From here on everything is measured anew.
  void begin(const std::vector<routing::Member>& members, Nanos now);
  // To be called often: a node that goes out of service, or comes back as another life, is measured anew.
  void watch(const std::vector<routing::Member>& members, Nanos now);
  Nanos begun() const { return begun_; }

  // `fresh`: nodes in the new version; `others`: those that wait. Looks are counted: what a false halt may
  // cost is spread over `looks` of them.
  Finding look(const agreement::Plan& plan, const std::vector<routing::Member>& members,
               const std::set<std::string>& fresh, const std::set<std::string>& others, unsigned looks,
               Nanos now) const;

 private:
  struct Base {
    bool counts = false;  // it has been whole since
    bool fell = false;    // it went out of service by itself since begin()
    Nanos since = 0;
    report::NodeReport report;
  };
  // All that is judged at one look.
  struct Seen {
    std::map<std::string, Figures> figures;  // by what they are of
    std::map<std::string, unsigned> least;   // group -> the fewest exchanges of a new node
    unsigned fell_fresh = 0;
    unsigned fell_others = 0;
    unsigned fresh_there = 0;  // new nodes that are measured
  };
  Seen measured(const agreement::Plan& plan, const std::vector<routing::Member>& members,
                const std::set<std::string>& fresh, const std::set<std::string>& others, Nanos now) const;
  void start(Base& base, const routing::Member& member, Nanos now);

  std::map<std::string, Base> bases_;
  Nanos begun_ = 0;
};

}  // namespace myrtlecroft::releases
