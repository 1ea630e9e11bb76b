// Splits the rows of an answer into pages. A page ends at kMaxRows rows or kMaxBytes bytes, so that a page
// fits into one answer however long its rows are. A single longer row has a page of its own. Used by
// AdminQueries. No I/O.
#pragma once

#include <cstddef>

namespace myrtlecroft::control {

// Selects the rows of one requested page.
class Pager {
 public:
  static constexpr std::size_t kMaxRows = 1000;
  static constexpr std::size_t kMaxBytes = std::size_t{160} << 10;

  // `page` is counted from 1.
  explicit Pager(std::size_t page) : requested_page_(page) {}

  // Must be called for each row in order. Returns true if the row is on the requested page.
  bool add_row(std::size_t bytes) {
    bool full = rows_on_page_ == kMaxRows || (rows_on_page_ > 0 && bytes_on_page_ + bytes > kMaxBytes);
    if (full || pages_ == 0) {
      ++pages_;
      rows_on_page_ = 0;
      bytes_on_page_ = 0;
    }
    ++rows_;
    ++rows_on_page_;
    bytes_on_page_ += bytes;
    if (pages_ != requested_page_) return false;
    if (rows_on_requested_page_ == 0) first_row_ = rows_;
    ++rows_on_requested_page_;
    return true;
  }

  std::size_t rows() const { return rows_; }  // on all pages
  std::size_t pages() const { return pages_; }
  std::size_t rows_on_requested_page() const { return rows_on_requested_page_; }
  // Number of the first row on the requested page, counted from 1; 0 if the page has no rows.
  std::size_t first_row() const { return first_row_; }

 private:
  std::size_t requested_page_;
  std::size_t rows_ = 0;
  std::size_t pages_ = 0;
  std::size_t rows_on_page_ = 0;   // on the page being filled
  std::size_t bytes_on_page_ = 0;  // on the page being filled
  std::size_t rows_on_requested_page_ = 0;
  std::size_t first_row_ = 0;
};

}  // namespace myrtlecroft::control
