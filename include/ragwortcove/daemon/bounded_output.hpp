/// \file
/// Output that never blocks its writer: a bounded buffer before a descriptor whose reader may
/// stall.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortcove::daemon {

/// Lines that do not fit are left out whole and counted; the count goes out as a line of its own as
/// soon as there is room.
class bounded_output {
public:
    /// Bytes that wait for the reader, at most.
    static constexpr std::size_t most_waiting_bytes = 256U << 10U;

    /// Does not own the descriptor.
    explicit bounded_output(int to) : descriptor(to) {}

    /// Takes a whole line with its end.
    void write(std::string_view line);
    /// Hands on what the descriptor takes without blocking.
    void flush();
    [[nodiscard]] std::size_t waiting_bytes() const { return this->waiting.size(); }
    [[nodiscard]] std::uint64_t lines_left_out() const { return this->left_out; }

private:
    int descriptor;
    std::string waiting;
    std::uint64_t left_out = 0;
    std::uint64_t told_left_out = 0;
};

} // namespace ragwortcove::daemon
