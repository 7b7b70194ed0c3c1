/// \file
/// Counts the memory that one holder takes towards a sum of many holders.
#pragma once

#include <cstddef>
#include <utility>

namespace ragwortcove::http {

/// A holder's share of a sum of bytes, which must outlive it. The share goes with the holder.
class byte_share {
public:
    byte_share() = default;
    ~byte_share() { this->release(); }
    byte_share(byte_share&& other) noexcept
        : sum(std::exchange(other.sum, nullptr)), bytes(std::exchange(other.bytes, 0))
    {
    }
    byte_share& operator=(byte_share&& other) noexcept
    {
        std::swap(this->sum, other.sum);
        std::swap(this->bytes, other.bytes);
        return *this;
    }
    byte_share(const byte_share&) = delete;
    byte_share& operator=(const byte_share&) = delete;

    /// Sets the share to `held` bytes of `of`.
    void set(std::size_t& of, std::size_t held)
    {
        this->release();
        this->sum = &of;
        this->bytes = held;
        of += held;
    }
    [[nodiscard]] std::size_t size() const { return this->bytes; }

private:
    void release()
    {
        if (this->sum != nullptr)
            *this->sum -= this->bytes;
        this->sum = nullptr;
        this->bytes = 0;
    }

    std::size_t* sum = nullptr;
    std::size_t bytes = 0;
};

} // namespace ragwortcove::http
