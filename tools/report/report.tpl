{{%AUTOESCAPE context="HTML"}}
<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>hallpier: {{TITLE}}</title>
<style>
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; }
table { border-collapse: collapse; }
td, th { border: 1px solid #999; padding: 0.2em 0.6em; text-align: right; }
img { width: 36em; }
</style>
</head>
<body>
<h1>{{TITLE}}</h1>
<p>{{INTRODUCTION}}</p>
{{#EXPERIMENT}}
<h2>{{TITLE}}</h2>
<p>{{EXPLANATION}}</p>
<p><img src="{{NAME}}.svg" alt="{{TITLE}}"></p>
<table>
<tr><th>{{X_LABEL}}</th>{{#SERIES}}<th>{{LABEL}}: median</th><th>90 %</th><th>99 %</th><th>samples</th>{{/SERIES}}</tr>
{{#POINT}}
<tr><td>{{X}}</td>{{#VALUE}}<td>{{MEDIAN}}</td><td>{{P90}}</td><td>{{P99}}</td><td>{{SAMPLES}}</td>{{/VALUE}}</tr>
{{/POINT}}
</table>
{{/EXPERIMENT}}
</body>
</html>
