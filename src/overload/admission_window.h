// The design's window over queue positions: grows by one with each tenth timely answer, is cut by a late one,
// and decides which arrivals are rejected and which request at the front is too late to start.
#pragma once

namespace myrtlecroft::overload {

class AdmissionWindow {
 public:
  explicit AdmissionWindow(int cores);

  // Positions.
  int size() const { return size_; }
  bool rejects_arrival(int position) const { return position > size_; }
  // Checked at the front of the queue.
  bool is_likely_late(int position) const { return position > size_ + kMargin; }

  void answer_was_timely();
  // `caused_by_dependency`: the wait in the queue was not what made it late, so the size stays.
  void answer_was_late(int position, bool caused_by_dependency);
  // Back to the starting size: what a stall made late says nothing of positions.
  void restart();

 private:
  static constexpr int kMargin = 10;          // positions, of the cut and of the check at the front
  static constexpr int kGrowthInterval = 10;  // timely answers for each position more
  static constexpr int kStartPerCore = 4;     // positions
  static constexpr int kMaxPerCore = kStartPerCore * kStartPerCore;

  int min_size_;
  int size_;
  int timely_answers_ = 0;  // since the last late one
};

}  // namespace myrtlecroft::overload
