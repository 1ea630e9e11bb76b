// The admission window: the number of queue positions that arrivals may take. It grows by one position with
// every tenth timely answer and shrinks when an answer is late.
#pragma once

namespace myrtlecroft::overload {

// Rejects arrivals beyond the window, and requests at the front of the queue that would be answered late. One
// thread.
class AdmissionWindow {
 public:
  explicit AdmissionWindow(int cores);

  // In queue positions.
  int size() const { return size_; }
  // Whether an arrival that would be queued at `position` is rejected.
  bool rejects_arrival(int position) const { return position > size_; }
  // Whether a request that was queued at `position` and is now at the front of the queue will be answered
  // late.
  bool is_likely_late(int position) const { return position > size_ + kMargin; }

  void record_timely_answer();
  // `caused_by_dependency`: the dependency made the answer late and not the wait in the queue, so the size
  // stays.
  void record_late_answer(int position, bool caused_by_dependency);
  // Returns to the initial size: answers that a stall made late tell nothing about queue positions.
  void reset();

 private:
  static constexpr int kMargin = 10;  // positions, when the window is cut and at the front of the queue
  static constexpr int kGrowthInterval = 10;  // timely answers for each additional position
  static constexpr int kStartPerCore = 4;     // positions
  static constexpr int kMaxPerCore = kStartPerCore * kStartPerCore;

  int min_size_;
  int size_;
  int timely_answers_ = 0;  // since the last late answer
};

}  // namespace myrtlecroft::overload
