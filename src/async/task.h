// A lazily started coroutine. Awaiting a task runs it to completion and returns its value;
// destroying the task destroys the coroutine's frame, even if it has not completed.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace hallpier::async {

template <class T>
class Task;

namespace internal {

struct FinalAwaiter {
  bool await_ready() const noexcept { return false; }
  template <class P>
  std::coroutine_handle<> await_suspend(std::coroutine_handle<P> finished) const noexcept {
    auto next = finished.promise().continuation;
    return next ? next : std::noop_coroutine();
  }
  void await_resume() const noexcept {}
};

struct PromiseBase {
  std::coroutine_handle<> continuation;
  std::suspend_always initial_suspend() const noexcept { return {}; }
  FinalAwaiter final_suspend() const noexcept { return {}; }
  // Errors are returned as values, so an exception that reaches this point is a bug.
  void unhandled_exception() const noexcept { std::terminate(); }
};

template <class T>
struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  void return_value(T returned) { value.emplace(std::move(returned)); }
  T Take() { return std::move(*value); }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() const noexcept {}
  void Take() const noexcept {}
};

}  // namespace internal

template <class T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = internal::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&&) = delete;
  ~Task() {
    if (handle_) handle_.destroy();
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) noexcept {
    handle_.promise().continuation = caller;
    return handle_;
  }
  T await_resume() { return handle_.promise().Take(); }

 private:
  Handle handle_;
};

namespace internal {
template <class T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}
}  // namespace internal

}  // namespace hallpier::async
