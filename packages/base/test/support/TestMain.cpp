#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int aArgc, char** aArgv)
{
  // RapidCheck and protobuf keep objects for the life of the process, which
  // the leak detector would count as leaks of the test that created them.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aArgc, aArgv);
}
