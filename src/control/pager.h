// Which of many rows stand on one page of an answer. A page is full by rows or by bytes, so that each page
// can be written whole, however long its rows are.
#pragma once

#include <cstddef>

namespace myrtlecroft::control {

class Pager {
 public:
  static constexpr std::size_t kMaxRows = 1000;
  static constexpr std::size_t kMaxBytes = std::size_t{160} << 10;

  explicit Pager(std::size_t page) : wanted_(page) {}

  // To be called for each row in order; true where it stands on the wanted page.
  bool next(std::size_t bytes) {
    bool full = rows_on_page_ == kMaxRows || (rows_on_page_ > 0 && bytes_on_page_ + bytes > kMaxBytes);
    if (full || pages_ == 0) {
      ++pages_;
      rows_on_page_ = 0;
      bytes_on_page_ = 0;
    }
    ++rows_;
    ++rows_on_page_;
    bytes_on_page_ += bytes;
    if (pages_ != wanted_) return false;
    if (shown_++ == 0) first_ = rows_;
    return true;
  }

  std::size_t rows() const { return rows_; }  // that there are, on all pages
  std::size_t pages() const { return pages_; }
  std::size_t shown() const { return shown_; }  // on the wanted page
  std::size_t first() const { return first_; }  // of these, counted from 1; 0: none

 private:
  std::size_t wanted_;
  std::size_t rows_ = 0;
  std::size_t pages_ = 0;
  std::size_t rows_on_page_ = 0;
  std::size_t bytes_on_page_ = 0;
  std::size_t shown_ = 0;
  std::size_t first_ = 0;
};

}  // namespace myrtlecroft::control
