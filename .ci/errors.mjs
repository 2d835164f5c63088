// A vitest reporter beside the JSON one, which does not tell of errors outside any test.
import { writeFileSync } from 'node:fs';

export default class Errors {
  onTestRunEnd(_modules, errors) {
    writeFileSync('target/errors.json', JSON.stringify(errors.map(({ message }) => String(message))));
  }
}
